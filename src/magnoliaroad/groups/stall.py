"""Detects that this process was paused."""


class StallDetector:
    """Prevents a copy from confirming records after a long pause.

    While this process was paused, the other holders may have declared it lost.
    A copy that resumes therefore reads the table before it confirms a record.

    Args:
        limit_s: Longest pause that the other holders tolerate.
    """

    def __init__(self, limit_s: float) -> None:
        self.limit_s = limit_s
        self._last_tick: float | None = None
        self._stalled = False

    def may_confirm(self, now: float) -> bool:
        """Whether there was no long pause since the table was last read."""
        self.tick(now)
        return not self._stalled

    def tick(self, now: float) -> None:
        """Records that the process is running at ``now``."""
        if self._last_tick is not None and now - self._last_tick > self.limit_s:
            self._stalled = True
        self._last_tick = now

    def record_table_read(self, now: float) -> None:
        """Records that the table was read from the store by a call sent at ``now``."""
        self.tick(now)
        self._stalled = False
