"""Where a host stands."""

from typing import NamedTuple

from magnoliaroad.peers import PeerAddress


class Place(NamedTuple):
    """A host and its data centre; places sort by data centre first."""

    data_centre: str
    host: str


def location_of(address: PeerAddress) -> Place:
    """Returns the place of the host at ``address``."""
    return Place(address.data_centre, address.host)
