"""One version of the operator's configuration."""

from typing import NamedTuple

from magnoliaroad.relay.route import RelayRoute
from magnoliaroad.rendezvous import hash_part


class RelayService(NamedTuple):
    """A service and the limits of its targets.

    Attributes:
        name: Unique name.
        health_path: Path of the targets' health check.
        max_connections: Most connections that a target accepts from all hosts together.
        slots: Requests that an engine processes in one batch; 0 for plain services.
        tokens_per_event: Tokens in each event of a stream; 0 for plain services.
        memory_tokens: Tokens that the memory of an engine holds; 0 if unknown.
        cold_s: Time that a target is cold after its start, in seconds.
        cold_rate: Requests a second that a cold target takes from all hosts together; 0
            for no limit.
    """

    name: str
    health_path: str
    max_connections: int
    slots: int = 0
    tokens_per_event: int = 0
    memory_tokens: int = 0
    cold_s: float = 0.0
    cold_rate: float = 0.0


class RelayTeam(NamedTuple):
    """A team and its rate limit.

    Attributes:
        name: Unique name.
        rate: Requests a second over all hosts; 0 for no limit.
        burst: Requests above the rate that are admitted at once.
        priority: Overrides the priority of a route; ``None`` keeps the route's.
        allowed_regions: Regions to which its requests may go; all if it is empty.
    """

    name: str
    rate: float
    burst: float
    priority: int | None = None
    allowed_regions: tuple[str, ...] = ()


class CallerLimits(NamedTuple):
    """What a caller may send, and how long it may stay idle.

    Attributes:
        max_header_bytes: Largest size of a request's header.
        max_body_bytes: Largest size of a request's body.
        header_timeout_s: Longest time in which a request's header must arrive.
        idle_timeout_s: Time after which an idle connection may be closed.
    """

    max_header_bytes: int
    max_body_bytes: int
    header_timeout_s: float
    idle_timeout_s: float


class RelayPlan(NamedTuple):
    """Routes, services and teams that are in force together.

    Attributes:
        version: Increases with each change.
        routes: Routes by host, longest prefix first.
        services: Services by name.
        teams: Teams by name.
        keys: Name of the team that holds each caller key.
        limits: What callers may send.
    """

    version: int
    routes: dict[str, tuple[RelayRoute, ...]]
    services: dict[str, RelayService]
    teams: dict[str, RelayTeam]
    keys: dict[str, str]
    limits: CallerLimits

    def find_route(self, host: str, path: str) -> RelayRoute | None:
        """Returns the route with the longest prefix of ``path``, if any."""
        for route in self.routes.get(host, ()):
            if path.startswith(route.path_prefix):
                return route
        return None


def pick_service(route: RelayRoute, key: str) -> str:
    """Returns the service for requests with ``key``, chosen by weight.

    All hosts make the same choice, so that all turns of a program use one service.
    """
    if len(route.services) == 1:
        return route.services[0].service
    total = sum(part.weight for part in route.services)
    point = hash_part(route.name, key) * total
    for part in route.services:
        point -= part.weight
        if point < 0:
            return part.service
    return route.services[-1].service
