"""Variants of the aioprometheus metrics with cheap updates.

The library keys each value by the JSON form of its labels and validates the labels on
every update. These classes key by the tuple of label items and defer all other work
until the metrics are read.
"""

from magnoliaroad.metrics.counter import Counter
from magnoliaroad.metrics.gauge import Gauge
from magnoliaroad.metrics.histogram import Histogram

__all__ = ["Counter", "Gauge", "Histogram"]
