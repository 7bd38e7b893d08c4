"""Counter metric with cheap updates."""

import aioprometheus
from typing_extensions import override

from magnoliaroad.metrics.labels import LabelKey, label_key


class Counter(aioprometheus.Counter):
    """A value for each set of labels that can only increase."""

    def __init__(self, name: str, doc: str) -> None:
        super().__init__(name, doc)
        self._counts: dict[LabelKey, float] = {}

    @override
    def add(self, labels: dict[str, str], value: float) -> None:
        if value < 0:
            raise ValueError(
                f"{self.name}: counter increment must not be negative: {value}"
            )
        key = label_key(labels)
        self._counts[key] = self._counts.get(key, 0) + value

    @override
    def set(self, labels: dict[str, str], value: float) -> None:
        self._counts[label_key(labels)] = value

    @override
    def get(self, labels: dict[str, str]) -> float:
        return self._counts[label_key(labels)]

    @override
    def get_all(self) -> list[tuple[dict[str, str], float]]:
        return [(dict(key), value) for key, value in self._counts.items()]
