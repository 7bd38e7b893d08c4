"""Membership of hosts, and which hosts and targets are leaving."""

from magnoliaroad.membership.departures import Departures
from magnoliaroad.membership.host_list import (
    HostList,
    HostListError,
    ListedState,
    PlatformList,
)
from magnoliaroad.membership.record import HostRecord
from magnoliaroad.membership.service import MembershipService

__all__ = [
    "Departures",
    "HostList",
    "HostListError",
    "HostRecord",
    "ListedState",
    "MembershipService",
    "PlatformList",
]
