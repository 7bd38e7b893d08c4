"""The address at which a host accepts connections from its peers."""

from typing import NamedTuple


class PeerAddress(NamedTuple):
    """Address of a host's peer port.

    Attributes:
        host: Name of the host.
        data_centre: Data centre of the host; empty if not known yet.
        address: IP address.
        port: TCP port.
    """

    host: str
    data_centre: str
    address: str
    port: int
