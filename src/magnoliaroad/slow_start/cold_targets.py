"""Targets that are cold by their entries."""

import math
from collections.abc import Container
from typing import NamedTuple

from magnoliaroad.relay.target import RelayTarget, TargetStart, start_of


class _ColdSpan(NamedTuple):
    """When a target was last known to be cold, and until when, in seconds."""

    known_at: float
    until: float


class ColdTargets:
    """How long each target remains cold.

    The time is counted from the moment at which a host reads the entry, by its
    monotonic clock: it ends too late rather than too early, and needs no store.
    """

    def __init__(self) -> None:
        self._spans: dict[TargetStart, _ColdSpan] = {}

    def record_entry(self, target: RelayTarget, now: float) -> bool:
        """Records what a new entry of a target states.

        Returns:
            Whether the target has become cold or warm by it.
        """
        start = start_of(target)
        before = self._spans.pop(start, None)
        was_cold = before is not None and before.until > now
        if target.cold_s > 0:
            self._spans[start] = _ColdSpan(now, now + target.cold_s)
        return was_cold != (target.cold_s > 0)

    def record_remaining(
        self, target: RelayTarget, remaining_s: float, now: float
    ) -> None:
        """Records how long a target remains cold by a peer, or by its own answer."""
        start, span = start_of(target), _ColdSpan(now, now + remaining_s)
        before = self._spans.get(start)
        if before is None or before.until < span.until:
            self._spans[start] = span

    def remaining_s(
        self, target: RelayTarget, now: float, longest_s: float = math.inf
    ) -> float:
        """Returns the time for which a target remains cold; 0 if it is warm.

        Args:
            target: The target.
            now: Time in seconds.
            longest_s: Longest time for which it is believed to be cold.
        """
        # Each request asks for each of its targets, and mostly none is cold.
        if not self._spans:
            return 0.0
        span = self._spans.get(start_of(target))
        if span is None:
            return 0.0
        return max(0.0, min(span.until, span.known_at + longest_s) - now)

    def sweep(self, now: float, names: Container[str]) -> list[TargetStart]:
        """Drops the targets that are warm or gone; returns those that became warm."""
        ended = [start for start, span in self._spans.items() if span.until <= now]
        self._spans = {
            start: span
            for start, span in self._spans.items()
            if span.until > now and start.name in names
        }
        return [start for start in ended if start.name in names]

    def __len__(self) -> int:
        return len(self._spans)
