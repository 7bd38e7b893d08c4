"""A route of the operator's configuration."""

from typing import NamedTuple

from magnoliaroad.relay.route_kind import RouteKind


class ServiceWeight(NamedTuple):
    """A service and its share of a route's requests."""

    service: str
    weight: float


class RelayRoute(NamedTuple):
    """Which requests a route matches, and how they are sent.

    Attributes:
        name: Unique name.
        host: Value of the ``Host`` header.
        path_prefix: Start of the path; begins and ends with a slash.
        kind: Whether a request may be sent again.
        timeout_s: Longest time until the answer ends.
        objective_s: Time within which an answer counts in full.
        priority: Rank among routes; 0 is the most urgent.
        services: Services that share the requests.
        attempts: Most targets that one request may be sent to.
        keeps_turns: Whether answered turns are stored and can be continued by id.
        retention_s: Time for which a turn is stored.
        open_to_all: Whether requests need no key.
        resumable: Whether a stream may continue on another target.
        allowed_regions: Regions to which the requests may go; all if it is empty.
    """

    name: str
    host: str
    path_prefix: str
    kind: RouteKind
    timeout_s: float
    objective_s: float
    priority: int
    services: tuple[ServiceWeight, ...]
    attempts: int = 1
    keeps_turns: bool = False
    retention_s: float = 0.0
    open_to_all: bool = False
    resumable: bool = False
    allowed_regions: tuple[str, ...] = ()

    @property
    def repeatable(self) -> bool:
        """Whether a request that may have run may be sent again."""
        return self.kind is RouteKind.SAFE
