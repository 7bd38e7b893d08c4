"""Metrics of callers' keys."""

from magnoliaroad.metrics import Counter, Gauge

WITHDRAWN = Gauge("keys_withdrawn", "Withdrawn keys that this host knows.")
CONTACT_AGE_S = Gauge(
    "keys_contact_age_seconds",
    "Seconds since the last contact with the store or another data centre.",
)
REFUSED = Counter("keys_refused_total", "Requests refused for their key, by code.")
KEYS_ENDED = Counter(
    "keys_ended_total", "Keys that stopped while callers may have been connected."
)
STORE_CALLS = Counter("keys_store_calls_total", "Calls on the store, by operation.")
