"""Metrics of hedged requests."""

from magnoliaroad.metrics import Counter

HEDGES = Counter("hedges_total", "Second attempts, by outcome.")
WASTED = Counter(
    "hedge_wasted_seconds_total", "Time for which targets worked on cancelled attempts."
)
