"""What the handling of a request needs."""

from collections.abc import Callable
from typing import NamedTuple

from magnoliaroad.quarantine import QuarantineService
from magnoliaroad.records.held import HeldValues
from magnoliaroad.relay.budget_desk import BudgetDesk
from magnoliaroad.relay.dialect import Dialect
from magnoliaroad.relay.plan_holder import PlanHolder
from magnoliaroad.relay.settings import RelaySettings
from magnoliaroad.relay.target_table import TargetTable
from magnoliaroad.relay.team_limiter import TeamLimiter
from magnoliaroad.relay.turn_ledger import TurnLedger
from magnoliaroad.targets import TargetClient


class RelayParts(NamedTuple):
    """The parts of a host, for its request handlers.

    Attributes:
        quarantine: Keeps requests that crash targets away from them.
        programs: Programs of which this host has admitted requests lately.
        host_count: Returns how many relay hosts there are.
        notify_peers: Makes peers hear at once of what this host has learnt.
    """

    cfg: RelaySettings
    dialect: Dialect
    plans: PlanHolder
    limiter: TeamLimiter
    table: TargetTable
    client: TargetClient
    turns: TurnLedger
    budgets: BudgetDesk
    quarantine: QuarantineService
    programs: HeldValues[bool]
    host_count: Callable[[], int]
    notify_peers: Callable[[], None]
