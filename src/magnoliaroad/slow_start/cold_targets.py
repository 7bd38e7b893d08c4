"""Targets that are cold by their entries."""

from collections.abc import Container

from magnoliaroad.relay.target import RelayTarget, TargetStart, start_of


class ColdTargets:
    """How long each target remains cold.

    The time is counted from the moment at which a host reads the entry, by its
    monotonic clock: it ends too late rather than too early, and needs no store.
    """

    def __init__(self) -> None:
        self._cold_until: dict[TargetStart, float] = {}

    def record_entry(self, target: RelayTarget, now: float) -> bool:
        """Records what a new entry of a target states.

        Returns:
            Whether the target has become cold or warm by it.
        """
        start = start_of(target)
        was_cold = self._cold_until.pop(start, now) > now
        if target.cold_s > 0:
            self._cold_until[start] = now + target.cold_s
        return was_cold != (target.cold_s > 0)

    def record_remaining(
        self, target: RelayTarget, remaining_s: float, now: float
    ) -> None:
        """Records how long a target remains cold as a peer knows it."""
        start = start_of(target)
        until = now + remaining_s
        self._cold_until[start] = max(self._cold_until.get(start, until), until)

    def remaining_s(self, target: RelayTarget, now: float) -> float:
        """Returns the time for which a target remains cold; 0 if it is warm."""
        # Each request asks for each of its targets, and mostly none is cold.
        if not self._cold_until:
            return 0.0
        return max(0.0, self._cold_until.get(start_of(target), now) - now)

    def sweep(self, now: float, names: Container[str]) -> list[TargetStart]:
        """Drops the targets that are warm or gone; returns those that became warm."""
        ended = [start for start, until in self._cold_until.items() if until <= now]
        self._cold_until = {
            start: until
            for start, until in self._cold_until.items()
            if until > now and start.name in names
        }
        return [start for start in ended if start.name in names]

    def __len__(self) -> int:
        return len(self._cold_until)
