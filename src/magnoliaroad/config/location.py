"""The location of a host."""

from typing import NamedTuple

from magnoliaroad.peers import PeerAddress


class HostLocation(NamedTuple):
    """A host and its data centre, ordered by data centre and then by host."""

    data_centre: str
    host: str


def location_of(address: PeerAddress) -> HostLocation:
    """Returns the location of the host at ``address``."""
    return HostLocation(address.data_centre, address.host)
