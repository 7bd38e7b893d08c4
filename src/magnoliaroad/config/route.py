"""A route from callers to targets."""

import enum
from typing import NamedTuple

EVERY_TEAM = "*"


class RouteKind(enum.StrEnum):
    """The kind of targets that a route leads to."""

    ENGINE = "engine"
    SERVICE = "service"


class Route(NamedTuple):
    """A named pool of targets that callers send requests to.

    Attributes:
        name: Unique name; for engines the model name in callers' requests.
        kind: Model engines or plain services.
        teams: Teams that may use the route; ``*`` stands for every team.
        open: Whether all callers may use the route, even without a key.
        repeatable: Whether running a call twice is harmless.
    """

    name: str
    kind: RouteKind
    teams: tuple[str, ...] = ()
    open: bool = False
    repeatable: bool = True

    def allows(self, team: str) -> bool:
        """Whether ``team`` may use the route; empty for a caller without a key."""
        if self.open:
            return True
        return bool(team) and (EVERY_TEAM in self.teams or team in self.teams)
