"""Whether the body of a request still arrives."""

# Pause within a body after which it counts as late, in seconds; many round trips.
PAUSE_S = 1.0
# Least bytes of a body that arrive in a second after that.
MIN_BYTES_PER_S = 100_000


class Arrival:
    """The progress of a body, judged while others need the memory that it holds.

    For the load pattern of many bodies that stop short of their end, or go on byte by
    byte.

    Args:
        now: Monotonic time at which the request began, in seconds.
    """

    __slots__ = ("_began_at", "_grown_at", "_size")

    def __init__(self, now: float) -> None:
        self._began_at = self._grown_at = now
        self._size = 0

    def grow(self, size: int, now: float) -> None:
        """Notes that ``size`` bytes more have arrived."""
        self._size += size
        self._grown_at = now

    def is_late(self, now: float) -> bool:
        """Returns whether the body stopped, or arrives more slowly than it may."""
        least_s = PAUSE_S + self._size / MIN_BYTES_PER_S
        return now - self._grown_at > PAUSE_S or now - self._began_at > least_s
