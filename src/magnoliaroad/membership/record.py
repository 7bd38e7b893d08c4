"""The record with which a host announces itself."""

from typing import NamedTuple

import msgpack

from magnoliaroad.decoding import unpack
from magnoliaroad.peers import PeerAddress

HOSTS_PREFIX = "hosts/"


class HostRecord(NamedTuple):
    """A host's record in the store, attached to the host's lease.

    Attributes:
        host: Name of the host.
        data_centre: Data centre of the host.
        address: IP address.
        http_port: TCP port for callers.
        peer_port: TCP port for other hosts.
        incarnation: Changes each time the host starts.
        draining: Whether the host is shutting down.
    """

    host: str
    data_centre: str
    address: str
    http_port: int
    peer_port: int
    incarnation: str
    draining: bool = False

    @property
    def peer_address(self) -> PeerAddress:
        """Address at which the host accepts peer connections."""
        return PeerAddress(self.host, self.data_centre, self.address, self.peer_port)


def pack_record(record: HostRecord) -> bytes:
    """Returns ``record`` as msgpack."""
    return msgpack.packb(record)


def unpack_record(data: bytes) -> HostRecord:
    """Returns the record in ``data``; raises ``ValueError`` for other data."""
    return unpack(data, HostRecord)
