"""Metrics of calls that run at most once."""

from magnoliaroad.metrics import Counter, Gauge, Histogram

INTENTS = Counter("once_intents_total", "Intents by how they ended.")
RECORD_SECONDS = Histogram(
    "once_record_seconds",
    "Time until an intent was on record.",
    buckets=[0.001, 0.002, 0.005, 0.01, 0.05, 0.2, 1.0, 3.0],
)
MAY_HAVE_RUN = Gauge(
    "once_may_have_run", "Intents that this host owns and that may have run."
)
