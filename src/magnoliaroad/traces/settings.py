"""Settings of a replay."""

from typing import NamedTuple

from magnoliaroad.routing.settings import RoutingSettings
from magnoliaroad.standins.engine_settings import EngineSettings


class ReplaySettings(NamedTuple):
    """Simulated deployment that a trace is replayed against.

    Attributes:
        routing: Routing settings of every host.
        engine: Settings of every engine.
        engines: Number of engines.
        hosts: Number of entry hosts.
        data_centres: Number of data centres.
        near_s: One-way message delay within a data centre.
        far_s: One-way message delay between data centres.
        change_share: Share of the calls for which the load balancer chooses a random
            host; the others go to the host of the program's previous call.
        release_ended: Whether engines release the cache of ended programs.
        seed: Seed of the load balancer and of the choice of cache events that are
            lost.
        limit_s: Virtual time after which a replay is stopped.
    """

    routing: RoutingSettings = RoutingSettings()
    engine: EngineSettings = EngineSettings()
    engines: int = 5
    hosts: int = 7
    data_centres: int = 3
    near_s: float = 0.001
    far_s: float = 0.0012
    change_share: float = 0.2
    release_ended: bool = False
    seed: int = 0
    limit_s: float = 7200.0
