"""The store entries by which hosts announce themselves."""

from typing import NamedTuple

import msgpack

from magnoliaroad.decoding import check_address, log_refused, unpack
from magnoliaroad.peers import PeerAddress
from magnoliaroad.store import WatchBatch

PREFIX = "hosts/"
# Ends the key of the mark of a record host, which is under the same prefix so that one
# call reads both.
MARK_SUFFIX = "/journal"


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


class HostList(NamedTuple):
    """The hosts that the store lists.

    Attributes:
        hosts: Entry of each host, by name.
        marked: Record hosts whose journals may hold records that the store lacks,
            whether they have an entry or not.
    """

    hosts: dict[str, HostEntry]
    marked: frozenset[str]


def unpack_hosts(batch: WatchBatch) -> HostList:
    """Returns the list in the entries under ``PREFIX``, without those that are none."""
    hosts, marked = {}, set()
    for entry in batch.changed:
        name = entry.key.removeprefix(PREFIX)
        if name.endswith(MARK_SUFFIX):
            marked.add(name.removesuffix(MARK_SUFFIX))
        else:
            try:
                host = unpack_host(entry.value)
                check_address(host.address, host.port)
            except ValueError as exc:
                log_refused(entry.key, entry.revision, str(exc))
            else:
                hosts[name] = host
    return HostList(hosts, frozenset(marked))


def unpack_host(data: bytes) -> HostEntry:
    """Returns the entry packed in ``data``.

    Raises:
        ValueError: ``data`` is not a host entry.
    """
    return unpack(data, HostEntry)
