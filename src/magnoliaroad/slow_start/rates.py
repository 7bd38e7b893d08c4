"""Decides how many requests a second a cold target gets."""

from collections.abc import Callable

from loguru import logger

from magnoliaroad.relay.plan import RelayService
from magnoliaroad.relay.target import RelayTarget
from magnoliaroad.slow_start.cold_targets import ColdTargets
from magnoliaroad.slow_start.settings import SlowStartSettings

# Longest time for which a target may be cold, as a factor of its service's: an entry
# that states more is not believed.
MAX_COLD_FACTOR = 10.0
# Part of the slack that the home host's bucket may hold. The rest covers requests that
# arrive closer together than they were sent.
BURST_PART = 0.5
# Part of the overage that all hosts without a home host use together. Their slots are
# spread by hashing, so some seconds have twice the mean: with all of the overage, 38
# requests of 36 came in a second of a fleet of 85 whose home host was cut off.
UNSHARED_PART = 0.5
# Lowest rate of all hosts without a home host together, in requests a second: with an
# overage of 1 they would send nothing.
MIN_UNSHARED_RATE = 0.25


class ColdRates:
    """The rate of each cold target, over all hosts.

    For the load pattern of a data centre whose targets come back together: all of them
    are empty, so that every host would send its next requests there, and more than a
    cold target can take would end it again.

    Args:
        cfg: Most requests that a cold target may get.
        cold: The targets that are cold.
        find_service: Returns a service of the configuration in force, if it is there.
    """

    def __init__(
        self,
        cfg: SlowStartSettings,
        cold: ColdTargets,
        find_service: Callable[[str], RelayService | None],
    ) -> None:
        self.cfg = cfg
        self.cold = cold
        self._find_service = find_service
        self._reported: dict[str, RelayTarget] = {}

    def remaining_s(self, target: RelayTarget, now: float) -> float:
        """Returns the time for which a target remains cold; 0 without a limit."""
        if not self.cold.remaining_s(target, now):
            return 0.0
        service = self._find_service(target.service)
        if service is None or service.cold_rate <= 0:
            return 0.0
        longest_s = MAX_COLD_FACTOR * service.cold_s
        if target.cold_s > longest_s and target != self._reported.get(target.name):
            self._reported[target.name] = target
            logger.bind(
                target=target.name, cold_s=target.cold_s, longest_s=longest_s
            ).warning("target is cold for too long")
        return self.cold.remaining_s(target, now, longest_s)

    def find(self, target: RelayTarget, now: float) -> float | None:
        """Returns the rate of a target; ``None`` if it is warm or has no limit."""
        if not self.remaining_s(target, now):
            return None
        return self._find_service(target.service).cold_rate

    def burst(self) -> float:
        """Returns the most requests at once of a home host's bucket."""
        return max(1.0, BURST_PART * self.cfg.slack)

    def unshared_rate(self, rate: float) -> float:
        """Returns the rate of all hosts that cannot ask the home host together.

        The home host notices late that it is cut off and uses the whole rate until
        then, so the others have a part of what the bound on any one second allows
        beyond it.
        """
        unshared = UNSHARED_PART * rate * (self.cfg.overage - 1.0)
        return min(rate, max(MIN_UNSHARED_RATE, unshared))
