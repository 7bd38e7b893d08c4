"""Metrics of queueing and placement."""

from magnoliaroad.metrics import Counter, Gauge, Histogram

PLACED = Counter("routing_placed_total", "Requests placed, by target.")
REFUSED = Counter("routing_refused_total", "Requests refused, by code.")
WAITING = Gauge("routing_waiting", "Requests in the queues.")
WAITED = Histogram(
    "routing_wait_seconds",
    "Time in the queue.",
    buckets=[0.01, 0.1, 0.5, 1.0, 2.0, 5.0, 10.0, 30.0],
)
CLOSED_OFF = Gauge("routing_target_closed_off", "1 where a breaker is not closed.")
LOST_EVENTS = Counter("routing_cache_events_lost_total", "Cache events missed.")
COMPUTED = Counter("routing_prompt_tokens_computed_total", "Prompt tokens computed.")
CACHED = Counter("routing_prompt_tokens_cached_total", "Prompt tokens found cached.")
