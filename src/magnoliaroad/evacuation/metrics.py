"""Metrics of evacuations."""

from magnoliaroad.metrics import Counter, Gauge, Histogram

ORDERS = Gauge("evacuation_orders", "Data centres that are to be evacuated.")
OLDEST_AGE = Gauge(
    "evacuation_oldest_order_seconds", "Time for which the oldest order is known."
)
QUIET_AFTER = Histogram(
    "evacuation_quiet_seconds",
    "Time from an order until no request of this host is in flight there.",
)
NOTICES = Counter("evacuation_notices_total", "Orders told by peers, by outcome.")
