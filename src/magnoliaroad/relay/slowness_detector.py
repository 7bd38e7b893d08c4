"""Detects by its timers that this host is too slow."""

from collections import deque

# Number of recent samples, and the mean timer lag over them in seconds above which the
# host is slow. A turn passes the host about twenty times and must end within 1.5 times
# its usual time, so a lag of this size alone makes the turn late.
SLOW_SAMPLES = 6
SLOW_LAG_S = 0.05
# The same for the host to count as healthy again; more samples, to prevent flapping.
HEALTHY_SAMPLES = 25
HEALTHY_LAG_S = 0.01


class SlownessDetector:
    """Decides from the lag of this process's timers whether the host is slow.

    For the load pattern of a host whose processor has become several times slower while
    it still answers the balancer's health checks.

    Attributes:
        slow: Whether the host is slow.
    """

    def __init__(self) -> None:
        self.slow = False
        self._lags: deque[float] = deque(maxlen=HEALTHY_SAMPLES)

    def add_sample(self, lag_s: float) -> bool:
        """Adds the lag of a timer; returns whether ``slow`` has changed."""
        self._lags.append(lag_s)
        before = self.slow
        lags = list(self._lags)
        if not self.slow:
            recent = lags[-SLOW_SAMPLES:]
            full = len(recent) == SLOW_SAMPLES
            self.slow = full and sum(recent) / SLOW_SAMPLES > SLOW_LAG_S
            if self.slow:
                self._lags.clear()
        elif len(lags) == HEALTHY_SAMPLES:
            self.slow = sum(lags) / HEALTHY_SAMPLES > HEALTHY_LAG_S
        return self.slow != before
