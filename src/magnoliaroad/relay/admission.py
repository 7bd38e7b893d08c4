"""Finds the route and the team of a request before it is placed."""

from typing import NamedTuple

from magnoliaroad.refusal import Refused
from magnoliaroad.relay.call import RelayCall
from magnoliaroad.relay.plan import RelayPlan, RelayTeam
from magnoliaroad.relay.plan_holder import PlanHolder
from magnoliaroad.relay.refusals import NO_ROUTE, NOT_READY, UNKNOWN_KEY
from magnoliaroad.relay.route import RelayRoute


class AdmittedCall(NamedTuple):
    """A call with its route and the team that makes it.

    Attributes:
        call: The call.
        plan: Configuration in force at its admission.
        route: Route that matches it.
        team: Team that holds its key; ``None`` on routes that need no key.
    """

    call: RelayCall
    plan: RelayPlan
    route: RelayRoute
    team: RelayTeam | None

    @property
    def team_name(self) -> str:
        """Name of the team; empty on routes that need no key."""
        return "" if self.team is None else self.team.name


def admit(plans: PlanHolder, call: RelayCall) -> AdmittedCall:
    """Returns ``call`` with its route and team.

    Raises:
        Refused: The route or the key is unknown, or there is no configuration yet.
    """
    plan = plans.plan
    if plan is None:
        raise Refused(NOT_READY)
    route = plan.find_route(call.host, call.path.partition("?")[0])
    if route is None:
        raise Refused(NO_ROUTE)
    name = plan.keys.get(call.key) if call.key else None
    if name is None and not route.open_to_all and plan.teams:
        raise Refused(UNKNOWN_KEY)
    return AdmittedCall(call, plan, route, plan.teams[name] if name else None)
