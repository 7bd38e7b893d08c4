"""Metrics of relayed requests."""

from magnoliaroad.metrics import Counter, Gauge, Histogram

REQUESTS = Counter(
    "relay_requests_total", "Requests of callers, by route kind and status."
)
REFUSALS = Counter("relay_refusals_total", "Requests that were refused, by code.")
SENDS = Counter("relay_sends_total", "Requests sent to targets, by outcome.")
DIGEST_HEARTBEATS = Counter(
    "relay_digest_heartbeats_total",
    "Heartbeats put into digests, by the first field that had changed.",
)
ESCROW_REQUESTS = Counter(
    "relay_escrow_requests_total",
    "Requests for a data centre's part of a budget, by outcome.",
)
PROGRAM_TURNS = Counter(
    "relay_program_turns_total",
    "Turns of programs by placement: new, kept on their target, or moved.",
)
RESUMED_STREAMS = Counter(
    "relay_resumed_streams_total",
    "Requests to resume a stream, by what is known of its origin.",
)
LATENCY = Histogram(
    "relay_latency_seconds", "Time from a request's head to its end, by route kind."
)
FIRST_BYTE = Histogram(
    "relay_first_byte_seconds", "Time from a request's head to its answer's, by kind."
)
TIMER_LAG = Histogram("relay_timer_lag_seconds", "How late a timer of the host is.")
IN_FLIGHT = Gauge("relay_in_hand", "Requests that are being answered.")
DETOURS = Counter(
    "relay_detours_total",
    "Requests sent to a target through a peer, or for one, by role and outcome.",
)
CUT_SERVICES = Gauge(
    "relay_cut_services", "Services whose targets this host cannot reach itself."
)
TARGET_ADMISSIONS = Counter(
    "relay_target_admissions_total",
    "Decisions on requests to limited targets, by outcome and reason of the limit.",
)
COLD_TARGETS = Gauge(
    "relay_cold_targets", "Targets that are cold, as far as this host knows."
)
LIMITED_TARGETS = Gauge(
    "relay_limited_targets", "Targets that state a limit, as far as this host knows."
)
