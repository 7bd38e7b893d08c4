"""The components that handle requests."""

from collections.abc import Callable
from typing import NamedTuple

from magnoliaroad.hedging.policy import HedgePolicy
from magnoliaroad.quarantine import QuarantineService
from magnoliaroad.records.lru_cache import LruCache
from magnoliaroad.relay.budget_router import BudgetRouter
from magnoliaroad.relay.dialect import Dialect
from magnoliaroad.relay.placer import Placer
from magnoliaroad.relay.plan_holder import PlanHolder
from magnoliaroad.relay.program_targets import ProgramTargets
from magnoliaroad.relay.request_memory import RequestMemory
from magnoliaroad.relay.settings import RelaySettings
from magnoliaroad.relay.stream_origins import StreamOrigins
from magnoliaroad.relay.target_limiter import TargetLimiter
from magnoliaroad.relay.target_sender import TargetSender
from magnoliaroad.relay.target_table import TargetTable
from magnoliaroad.relay.team_limiter import TeamLimiter
from magnoliaroad.relay.turn_ledger import TurnLedger
from magnoliaroad.target_model.model import TargetModel
from magnoliaroad.waiting.admission import ProgramAdmission
from magnoliaroad.waiting.room import WaitingRoom


class RelayParts(NamedTuple):
    """The components of a host that its request handlers use.

    Attributes:
        memory: Bounds the memory of the requests.
        quarantine: Refuses requests that crash targets.
        target_limiter: Keeps the limits that targets state.
        waiting: Requests that wait for a target with room.
        hedging: Second attempts for requests that take longer than usual.
        program_admission: Refuses new programs while room is short.
        target_model: What is known of the speed and load of targets.
        placer: Chooses the targets of requests.
        program_targets: The target that serves each program.
        stream_origins: The software that began each stream that may be resumed.
        programs: Programs of which this host has recently admitted requests.
        targets_current: Returns whether the known targets are those that peers know.
        notify_peers: Sends this host's state to its peers without waiting for the next
            heartbeat.
        diverted_in_s: Returns the time until the balancer sends new connections of
            callers to hosts elsewhere, in seconds.
    """

    cfg: RelaySettings
    dialect: Dialect
    plans: PlanHolder
    memory: RequestMemory
    limiter: TeamLimiter
    table: TargetTable
    target_limiter: TargetLimiter
    target_model: TargetModel
    waiting: WaitingRoom
    program_admission: ProgramAdmission
    hedging: HedgePolicy
    placer: Placer
    sender: TargetSender
    turns: TurnLedger
    budgets: BudgetRouter
    quarantine: QuarantineService
    program_targets: ProgramTargets
    stream_origins: StreamOrigins
    programs: LruCache[bool]
    targets_current: Callable[[], bool]
    notify_peers: Callable[[], None]
    diverted_in_s: Callable[[], float]
