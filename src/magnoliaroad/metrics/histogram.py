"""Histogram metric with cheap updates."""

import bisect
import itertools
from collections.abc import Sequence

import aioprometheus
from typing_extensions import override

from magnoliaroad.metrics.labels import LabelKey, label_key


class Histogram(aioprometheus.Histogram):
    """Cumulative counts of observations by bucket, for each set of labels."""

    def __init__(
        self,
        name: str,
        doc: str,
        buckets: Sequence[float] = aioprometheus.Histogram.DEFAULT_BUCKETS,
    ) -> None:
        bounds = tuple(buckets)
        if not bounds or bounds[-1] != float("inf"):
            bounds = (*bounds, float("inf"))
        super().__init__(name, doc, buckets=bounds)
        self._bucket_counts: dict[LabelKey, list[int]] = {}
        self._sums: dict[LabelKey, float] = {}

    @override
    def observe(self, labels: dict[str, str], value: float) -> None:
        key = label_key(labels)
        counts = self._bucket_counts.get(key)
        if counts is None:
            counts = self._bucket_counts[key] = [0] * len(self.upper_bounds)
        counts[bisect.bisect_left(self.upper_bounds, value)] += 1
        self._sums[key] = self._sums.get(key, 0.0) + value

    @override
    def get(self, labels: dict[str, str]) -> dict[float | str, float]:
        key = label_key(labels)
        cumulative = list(itertools.accumulate(self._bucket_counts[key]))
        snapshot: dict[float | str, float] = dict(
            zip(self.upper_bounds, cumulative, strict=True)
        )
        snapshot[self.COUNT_KEY] = cumulative[-1]
        snapshot[self.SUM_KEY] = self._sums[key]
        return snapshot

    @override
    def get_all(self) -> list[tuple[dict[str, str], dict[float | str, float]]]:
        return [(dict(key), self.get(dict(key))) for key in self._bucket_counts]
