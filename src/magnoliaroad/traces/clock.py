"""Virtual clock and event queue."""

import heapq
from collections.abc import Callable


class VirtualClock:
    """Runs scheduled callbacks in order of time; none of them advances the time.

    Attributes:
        now: Virtual time in seconds.
    """

    def __init__(self) -> None:
        self.now = 0.0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._event_count = 0

    def call_at(self, when: float, callback: Callable[[], None]) -> None:
        """Schedules ``callback`` at time ``when``, but not in the past."""
        self._event_count += 1
        heapq.heappush(self._events, (max(when, self.now), self._event_count, callback))

    def call_later(self, delay_s: float, callback: Callable[[], None]) -> None:
        """Schedules ``callback`` in ``delay_s`` seconds."""
        self.call_at(self.now + delay_s, callback)

    def run(self, stop: Callable[[], bool], limit_s: float) -> None:
        """Runs events until ``stop`` returns true or the time exceeds ``limit_s``."""
        while self._events and not stop():
            when, _, callback = heapq.heappop(self._events)
            if when > limit_s:
                return
            self.now = when
            callback()
