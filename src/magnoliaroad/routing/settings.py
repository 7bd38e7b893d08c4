"""Settings of queueing and placement."""

from typing import Any, NamedTuple


class RoutingSettings(NamedTuple):
    """How requests are queued and placed.

    Attributes:
        policy: Name of the policy for model engines.
        policy_options: Settings of the policy that override its defaults.
        queue_wait_s: Maximum wait in the queue.
        queue_limit: Maximum number of waiting requests per route.
        scan_limit: Maximum number of waiting requests tried per placement.
        candidates: Targets that are scored for a request, besides those
            that have its prefix cached.
        index_entries: Maximum number of entries in the prefix index.
        hint_interval_s: Interval between load messages to peers, which carry
            the in-flight requests of this host.
        hint_lifetime_s: Age at which a peer's load is dropped.
        hint_peers: Maximum number of peers that a load message is sent to.
        hint_bytes_per_s: Bandwidth limit of load messages.
        watched_engines: Maximum number of engines polled at a time; if there
            are more, each poll starts at a random one.
        poll_interval_s: Interval between polls of engines.
        breaker_failures: Consecutive failures that open the circuit breaker.
        breaker_pause_s: First cooldown of the breaker; it doubles with each
            further failure.
        breaker_pause_limit_s: Maximum cooldown.
        retry_ratio: Retries added to the retry budget for each request.
        retry_burst: Maximum retries in the retry budget.
    """

    policy: str = "program_latency"
    policy_options: dict[str, Any] = {}
    queue_wait_s: float = 300.0
    queue_limit: int = 1000
    scan_limit: int = 16
    candidates: int = 12
    index_entries: int = 30_000
    hint_interval_s: float = 0.25
    hint_lifetime_s: float = 2.0
    hint_peers: int = 16
    hint_bytes_per_s: float = 16_000.0
    watched_engines: int = 8
    poll_interval_s: float = 0.5
    breaker_failures: int = 3
    breaker_pause_s: float = 1.0
    breaker_pause_limit_s: float = 30.0
    retry_ratio: float = 0.1
    retry_burst: float = 10.0
