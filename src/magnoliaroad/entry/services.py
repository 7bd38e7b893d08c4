"""The services that the entry server depends on."""

from typing import NamedTuple

from magnoliaroad.config import ConfigService
from magnoliaroad.drain_limit import DrainLimit
from magnoliaroad.keys import KeyService
from magnoliaroad.limits import LimitService
from magnoliaroad.once import OnceService
from magnoliaroad.programs import ProgramService
from magnoliaroad.quarantine import QuarantineService
from magnoliaroad.relay.request_memory import RequestMemory
from magnoliaroad.routing import PlacementService
from magnoliaroad.targets import TargetClient


class EntryServices(NamedTuple):
    """Services that are used to handle a request.

    Attributes:
        drain: Limits the time of requests while the host stops.
        memory: Bounds what the bodies of all requests hold.
    """

    config: ConfigService
    keys: KeyService
    limits: LimitService
    programs: ProgramService
    once: OnceService
    quarantine: QuarantineService
    placement: PlacementService
    targets: TargetClient
    drain: DrainLimit
    memory: RequestMemory
