"""A seeded wire that delays, drops, duplicates and reorders messages."""

import heapq
import itertools
import random
from collections.abc import Iterable
from typing import Any, NamedTuple


class WireFaults(NamedTuple):
    """Faults that a wire applies to messages.

    Attributes:
        min_delay_s: Shortest delay.
        max_delay_s: Longest delay; messages are reordered if it exceeds the shortest.
        drop: Fraction of messages that are lost.
        duplicate: Fraction of messages that are delivered twice.
    """

    min_delay_s: float = 0.001
    max_delay_s: float = 0.002
    drop: float = 0.0
    duplicate: float = 0.0


class Delivery(NamedTuple):
    """A message and the time at which it arrives."""

    at: float
    source: str
    target: str
    message: Any


class Wire:
    """Carries messages between named hosts in virtual time."""

    def __init__(self, seed: int = 0, faults: WireFaults | None = None) -> None:
        self.faults = faults or WireFaults()
        self._random = random.Random(seed)
        self._cut: set[tuple[str, str]] = set()
        self._heap: list[tuple[float, int, Delivery]] = []
        self._numbers = itertools.count()

    def cut(self, sources: Iterable[str], targets: Iterable[str], both=True) -> None:
        """Drops all messages from ``sources`` to ``targets``.

        Args:
            sources: Names of sending hosts.
            targets: Names of receiving hosts.
            both: Whether to drop messages in the other direction, too.
        """
        pairs = set(itertools.product(sources, targets))
        self._cut |= pairs
        if both:
            self._cut |= {(target, source) for source, target in pairs}

    def heal(self) -> None:
        """Ends all cuts."""
        self._cut.clear()

    def delays(self, source: str, target: str) -> list[float]:
        """Returns the delay of each copy that is delivered; none for a lost message."""
        cfg, draw = self.faults, self._random.random
        copies = 2 if draw() < cfg.duplicate else 1
        lost = draw() < cfg.drop or (source, target) in self._cut
        spread_s = cfg.max_delay_s - cfg.min_delay_s
        delays = [cfg.min_delay_s + draw() * spread_s for _ in range(copies)]
        return [] if lost else delays

    def send(self, now: float, source: str, target: str, message: Any) -> None:
        """Schedules the delivery of a message."""
        for delay_s in self.delays(source, target):
            delivery = Delivery(now + delay_s, source, target, message)
            heapq.heappush(self._heap, (delivery.at, next(self._numbers), delivery))

    def receive(self, now: float) -> list[Delivery]:
        """Returns and removes the messages that arrived by ``now``, in order."""
        arrived = []
        while self._heap and self._heap[0][0] <= now:
            arrived.append(heapq.heappop(self._heap)[2])
        return arrived

    def pending(self) -> list[Delivery]:
        """Returns the messages in transit."""
        return [delivery for _, _, delivery in self._heap]

    def next_at(self) -> float | None:
        """Returns the time of the next delivery; ``None`` if nothing is in transit."""
        return self._heap[0][0] if self._heap else None
