"""How a host announces itself in the store."""

from typing import NamedTuple

import msgpack

from magnoliaroad.peers import PeerAddress

PREFIX = "hosts/"


class HostEntry(NamedTuple):
    """A host's entry.

    Attributes:
        data_centre: Where it stands.
        address: IP address of its peer port.
        port: Its peer port.
        relays: Whether it relays requests; others keep records.
    """

    data_centre: str
    address: str
    port: int
    relays: bool

    def pack(self) -> bytes:
        """Returns the entry as msgpack."""
        return msgpack.packb(self)

    def peer(self, host: str) -> PeerAddress:
        """Returns the address of the entry's ``host``."""
        return PeerAddress(host, self.data_centre, self.address, self.port)


def unpack_host(data: bytes) -> HostEntry:
    """Returns the entry in ``data``; raises ``ValueError`` for other data."""
    fields = msgpack.unpackb(data)
    if not isinstance(fields, list) or len(fields) != len(HostEntry._fields):
        raise ValueError(f"not a host's entry: {fields!r:.80}")
    return HostEntry(*fields)
