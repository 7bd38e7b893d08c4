"""A decaying estimate of how often an event occurs."""

WINDOW_S = 1.0


class RecentRate:
    """Events per second over about the last second."""

    __slots__ = ("_at", "_rate")

    def __init__(self) -> None:
        self._rate = 0.0
        self._at = 0.0

    def count(self, now: float) -> None:
        """Counts one event."""
        self._rate = self.at(now) + 1.0 / WINDOW_S
        self._at = now

    def at(self, now: float) -> float:
        """Returns the rate at ``now``."""
        passed_s = max(0.0, now - self._at)
        return self._rate * max(0.0, 1.0 - passed_s / WINDOW_S)
