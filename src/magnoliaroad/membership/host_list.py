"""The platform's list of live and leaving hosts and targets."""

import abc
import enum
from typing import NamedTuple


class ListedState(enum.StrEnum):
    """State of a host or target in the platform's list."""

    LIVE = "live"
    LEAVING = "leaving"


class PlatformList(NamedTuple):
    """One answer of the platform, which lags behind the actual state.

    Attributes:
        hosts: States of hosts by name.
        targets: States of targets by name.
    """

    hosts: dict[str, ListedState] = {}
    targets: dict[str, ListedState] = {}


class HostListError(Exception):
    """The platform's list could not be read."""


class HostList(abc.ABC):
    """Reads the platform's list."""

    @abc.abstractmethod
    async def read(self) -> PlatformList:
        """Returns the list; raises ``HostListError`` if it cannot be read."""

    @abc.abstractmethod
    async def close(self) -> None:
        """Releases the adapter's resources."""
