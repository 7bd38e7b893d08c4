"""Metrics of the connections of callers."""

from magnoliaroad.metrics import Counter

EVICTED = Counter(
    "callers_evicted_connections_total",
    "Connections that were ended to make room for others, by address.",
)
REFUSED = Counter(
    "callers_refused_connections_total",
    "Connections that were closed unread, as there was no room, by address.",
)
