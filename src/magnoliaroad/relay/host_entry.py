"""The store entries by which hosts announce themselves."""

from typing import NamedTuple

import msgpack

from magnoliaroad.peers import PeerAddress

PREFIX = "hosts/"


class HostEntry(NamedTuple):
    """The store entry of a host.

    Attributes:
        data_centre: Data centre of the host.
        address: IP address on which the host listens for peers.
        port: Port on which the host listens for peers.
        relays: Whether the host relays requests; otherwise it is a record host.
    """

    data_centre: str
    address: str
    port: int
    relays: bool

    def pack(self) -> bytes:
        """Returns the entry as msgpack."""
        return msgpack.packb(self)

    def peer(self, host: str) -> PeerAddress:
        """Returns the peer address of ``host``, whose entry this is."""
        return PeerAddress(host, self.data_centre, self.address, self.port)


def unpack_host(data: bytes) -> HostEntry:
    """Returns the entry packed in ``data``.

    Raises:
        ValueError: ``data`` is not a host entry.
    """
    fields = msgpack.unpackb(data)
    if not isinstance(fields, list) or len(fields) != len(HostEntry._fields):
        raise ValueError(f"not a host entry: {fields!r:.80}")
    return HostEntry(*fields)
