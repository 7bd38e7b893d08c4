"""One version of the operator's configuration."""

from typing import NamedTuple

import xxhash

from magnoliaroad.relay.route import RelayRoute

HASH_RANGE = 2.0**64


class RelayService(NamedTuple):
    """A service and what its targets can take.

    Attributes:
        name: Unique name.
        health_path: Path of the targets' health check.
        max_connections: Most connections that a target accepts in all.
        slots: Requests that an engine batches; 0 for plain services.
        tokens_per_event: Tokens in each event of a stream; 0 for plain services.
    """

    name: str
    health_path: str
    max_connections: int
    slots: int = 0
    tokens_per_event: int = 0


class RelayTeam(NamedTuple):
    """A customer with its limit.

    Attributes:
        name: Unique name.
        rate: Requests a second over all hosts; 0 for no limit.
        burst: Requests beyond the rate that may come at once.
        priority: Rank that goes before a route's; ``None`` leaves the route's.
    """

    name: str
    rate: float
    burst: float
    priority: int | None = None


class CallerLimits(NamedTuple):
    """What a caller may send, and how long it may stay idle.

    Attributes:
        max_header_bytes: Largest size of a request's head.
        max_body_bytes: Largest size of a request's body.
        header_timeout_s: Longest time a request's head may take.
        idle_timeout_s: Time after which an idle connection may be closed.
    """

    max_header_bytes: int
    max_body_bytes: int
    header_timeout_s: float
    idle_timeout_s: float


class RelayPlan(NamedTuple):
    """Routes, services and teams that are in force together.

    Attributes:
        version: Rises with each change.
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
    """Returns the service that requests with ``key`` go to.

    All hosts pick alike, so that the turns of one program stay together.
    """
    if len(route.services) == 1:
        return route.services[0].service
    total = sum(part.weight for part in route.services)
    point = (
        xxhash.xxh3_64_intdigest(f"{route.name}\0{key}".encode()) / HASH_RANGE * total
    )
    for part in route.services:
        point -= part.weight
        if point < 0:
            return part.service
    return route.services[-1].service
