"""Whether this host is too slow for its work."""

from collections import deque

# Samples that are looked at, and mean delay of timers over them above which the host
# is slow. A turn passes the host about twenty times, and is to end within 1.5 times
# its usual time, so a delay of this size alone makes it late.
SLOW_SAMPLES = 6
SLOW_LAG_S = 0.05
# The same for the host to be sound again; longer, so that it does not alternate.
SOUND_SAMPLES = 25
SOUND_LAG_S = 0.01


class PaceJudge:
    """Judges by how late this process's timers are.

    Answers the load pattern of a host whose processor turns several times slower
    while it still answers the balancer.

    Attributes:
        slow: Whether the host is slow.
    """

    def __init__(self) -> None:
        self.slow = False
        self._lags: deque[float] = deque(maxlen=SOUND_SAMPLES)

    def note(self, lag_s: float) -> bool:
        """Takes the delay of a timer; returns whether ``slow`` has changed."""
        self._lags.append(lag_s)
        before = self.slow
        lags = list(self._lags)
        if not self.slow:
            recent = lags[-SLOW_SAMPLES:]
            full = len(recent) == SLOW_SAMPLES
            self.slow = full and sum(recent) / SLOW_SAMPLES > SLOW_LAG_S
            if self.slow:
                self._lags.clear()
        elif len(lags) == SOUND_SAMPLES:
            self.slow = sum(lags) / SOUND_SAMPLES > SOUND_LAG_S
        return self.slow != before
