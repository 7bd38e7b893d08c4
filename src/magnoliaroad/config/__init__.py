"""The operators' configuration: item types, revisions and distribution to hosts."""

from magnoliaroad.config.change import Change
from magnoliaroad.config.document import Config
from magnoliaroad.config.grant import GrantOrigin, KeyGrant
from magnoliaroad.config.head import ConfigHead
from magnoliaroad.config.location import HostLocation
from magnoliaroad.config.replica import ConfigReplica
from magnoliaroad.config.route import Route, RouteKind
from magnoliaroad.config.service import ConfigService
from magnoliaroad.config.settings import ConfigSettings
from magnoliaroad.config.target import Target
from magnoliaroad.config.team import Team

__all__ = [
    "Change",
    "Config",
    "ConfigHead",
    "ConfigReplica",
    "ConfigService",
    "ConfigSettings",
    "GrantOrigin",
    "KeyGrant",
    "HostLocation",
    "Route",
    "RouteKind",
    "Target",
    "Team",
]
