"""Gauge metric with cheap updates."""

import aioprometheus
from typing_extensions import override

from magnoliaroad.metrics.labels import LabelKey, label_key


class Gauge(aioprometheus.Gauge):
    """A value for each set of labels that can increase and decrease."""

    def __init__(self, name: str, doc: str) -> None:
        super().__init__(name, doc)
        self._current_values: dict[LabelKey, float] = {}

    @override
    def set(self, labels: dict[str, str], value: float) -> None:
        self._current_values[label_key(labels)] = value

    @override
    def add(self, labels: dict[str, str], value: float) -> None:
        key = label_key(labels)
        self._current_values[key] = self._current_values.get(key, 0) + value

    def clear(self) -> None:
        """Removes the values of all sets of labels."""
        self._current_values.clear()

    @override
    def get(self, labels: dict[str, str]) -> float:
        return self._current_values[label_key(labels)]

    @override
    def get_all(self) -> list[tuple[dict[str, str], float]]:
        return [(dict(key), value) for key, value in self._current_values.items()]
