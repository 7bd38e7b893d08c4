"""Decides whether and when a request gets a second attempt."""

from collections.abc import Callable
from typing import NamedTuple

from magnoliaroad.hedging.budget import HedgeBudget
from magnoliaroad.hedging.response_times import ResponseTimes
from magnoliaroad.hedging.settings import HedgingSettings
from magnoliaroad.relay.route import RelayRoute
from magnoliaroad.relay.route_kind import RouteKind

# Shortest age of a first attempt at which a second one is sent, in seconds: below it,
# the time that is gained is within the way to another target.
MIN_AGE_S = 0.01
# Part of a target's slots that may be in use for it to get second attempts.
SPARE_SLOTS_PART = 0.5


class HedgeTarget(NamedTuple):
    """What counts against a second attempt at a target.

    Attributes:
        load: Requests there.
        slots: Requests that it can run at the same time.
    """

    load: float
    slots: int


class HedgePolicy:
    """Second attempts within the operator's budget.

    For the load pattern of targets that are slow for a moment: a few answers of a route
    take many times as long as the others. A service that is slow or full as a whole
    gets no second attempts beyond the budget, as they would make it slower.

    Args:
        cfg: The budget.
        host_count: Returns the number of hosts that share the cap.
    """

    def __init__(self, cfg: HedgingSettings, host_count: Callable[[], int]) -> None:
        self.cfg = cfg
        self.times = ResponseTimes()
        self._host_count = host_count
        self._budgets: dict[str, HedgeBudget] = {}

    def may_hedge(self, route: RelayRoute, attempts: int) -> bool:
        """Whether a request may have a second attempt while the first one runs.

        Args:
            route: Route of the request.
            attempts: Targets that may have run it before the first attempt.
        """
        if self.cfg.extra_share <= 0 or attempts + 2 > route.attempts:
            return False
        if route.kind is RouteKind.STREAM:
            # A stored turn has one answer, which later turns continue.
            return route.resumable and not route.keeps_turns
        return route.repeatable

    def age_s(self, route: RelayRoute) -> float | None:
        """Returns the age of a first attempt at which a second one is sent.

        ``None`` if too few answers of the route are known.
        """
        usual_s = self.times.percentile_s(route.name, self.cfg.percentile)
        return None if usual_s is None else max(MIN_AGE_S, usual_s)

    def record_request(self, service: str, now: float) -> None:
        """Counts a request that may have a second attempt."""
        self._budget(service, now).record_request(self.cfg.extra_share)

    def take(self, service: str, target: HedgeTarget, now: float) -> bool:
        """Returns whether a second attempt is sent to ``target``, and charges it."""
        spare = target.load < SPARE_SLOTS_PART * max(1, target.slots)
        if not spare:
            return False
        cap_per_s = self.cfg.max_per_s / max(1, self._host_count())
        return self._budget(service, now).take(now, cap_per_s)

    def _budget(self, service: str, now: float) -> HedgeBudget:
        budget = self._budgets.get(service)
        if budget is None:
            budget = self._budgets[service] = HedgeBudget(now)
        return budget
