"""Metrics of the entry server."""

from magnoliaroad.metrics import Counter, Gauge, Histogram

LATENCY_BUCKETS_S = (0.01, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0, 30.0, 60.0)

REQUESTS = Counter(
    "magnoliaroad_requests_total", "Requests answered, by kind and status."
)
LATENCY = Histogram(
    "magnoliaroad_request_seconds",
    "Time to the end of an answer, by kind.",
    buckets=LATENCY_BUCKETS_S,
)
REFUSALS = Counter(
    "magnoliaroad_refusals_total", "Requests refused, by code and verdict."
)
IN_FLIGHT = Gauge("magnoliaroad_requests_in_hand", "Requests that are being answered.")
