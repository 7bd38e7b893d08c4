"""Circuit breaker of a target."""

from magnoliaroad.routing.settings import RoutingSettings


class CircuitBreaker:
    """Opens after consecutive failures and closes again in steps.

    After the cooldown the breaker is half-open and admits one request. Each
    success doubles the limit of in-flight requests until the breaker closes; a
    failure opens it again for twice the cooldown, up to a limit.

    Args:
        cfg: Settings of placement.
    """

    def __init__(self, cfg: RoutingSettings) -> None:
        self.cfg = cfg
        self.failures = 0
        self._open_until = 0.0
        self._cooldown_s = cfg.breaker_pause_s
        self._trial_limit: int | None = None

    def allows(self, in_flight: int, now: float) -> bool:
        """Returns whether one more request may be sent to the target."""
        if now < self._open_until:
            return False
        return self._trial_limit is None or in_flight < self._trial_limit

    @property
    def tripped(self) -> bool:
        """Whether the breaker is open or half-open."""
        return self._trial_limit is not None

    def record(self, failed: bool, now: float) -> bool:
        """Records the result of a request; returns whether the state changed."""
        if failed:
            return self._record_failure(now)
        self.failures = 0
        if self._trial_limit is None or now < self._open_until:
            return False
        self._trial_limit *= 2
        if self._trial_limit >= CLOSING_TRIAL_LIMIT:
            self._trial_limit = None
            self._cooldown_s = self.cfg.breaker_pause_s
        return True

    def _record_failure(self, now: float) -> bool:
        self.failures += 1
        if now < self._open_until:
            return False
        if self._trial_limit is None and self.failures < self.cfg.breaker_failures:
            return False
        self._open_until = now + self._cooldown_s
        self._cooldown_s = min(2 * self._cooldown_s, self.cfg.breaker_pause_limit_s)
        self._trial_limit = 1
        return True


CLOSING_TRIAL_LIMIT = 16
