"""Notices that this process was paused."""


class StallDetector:
    """Keeps a copy from confirming records after a pause.

    While this process was paused, the other holders may have given it up. A
    copy that wakes therefore reads the table before it confirms a record.

    Args:
        limit_s: Longest pause that goes unnoticed by the other holders.
    """

    def __init__(self, limit_s: float) -> None:
        self.limit_s = limit_s
        self._last_tick: float | None = None
        self._stalled = False

    def may_confirm(self, now: float) -> bool:
        """Whether the process has run without a long pause."""
        self.tick(now)
        return not self._stalled

    def tick(self, now: float) -> None:
        """Takes note that the process runs at ``now``."""
        if self._last_tick is not None and now - self._last_tick > self.limit_s:
            self._stalled = True
        self._last_tick = now

    def record_table_read(self, now: float) -> None:
        """Takes note that the store's table was read by a call sent at ``now``."""
        self.tick(now)
        self._stalled = False
