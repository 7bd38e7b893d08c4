"""The configuration at one revision."""

from typing import NamedTuple

from magnoliaroad.config.grant import KeyGrant
from magnoliaroad.config.route import Route
from magnoliaroad.config.target import Target
from magnoliaroad.config.team import Team


class Config(NamedTuple):
    """All items of the configuration at one accepted revision.

    Attributes:
        revision: Increases with each accepted change; 0 is the empty configuration.
        teams: Teams by name.
        grants: Key grants by digest.
        routes: Routes by name.
        targets: Targets by name.
    """

    revision: int = 0
    teams: dict[str, Team] = {}
    grants: dict[str, KeyGrant] = {}
    routes: dict[str, Route] = {}
    targets: dict[str, Target] = {}
