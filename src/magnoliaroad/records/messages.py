"""Messages between relay hosts and record hosts."""

from typing import NamedTuple


class KeepRecord(NamedTuple):
    """Asks a record host to keep a record.

    Attributes:
        key: Key of the record in the store.
        value: The record.
        ttl_s: How long the store is to keep it, in seconds.
        partners: Other record hosts that are asked to keep the same record.
        writes_first: Whether this host writes the record to the store first. Its
            partners write it later, unless they receive ``RecordsStored``.
    """

    key: str
    value: bytes
    ttl_s: float
    partners: list[str]
    writes_first: bool


class RecordKept(NamedTuple):
    """The answer to ``KeepRecord`` and ``KeepForMe``.

    Attributes:
        synced: Whether the record is durable: on the host's disk or, for
            ``KeepForMe``, on enough disks or in the store.
    """

    synced: bool


class FetchRecord(NamedTuple):
    """Requests a record from a record host."""

    key: str


class RecordFound(NamedTuple):
    """The answer to ``FetchRecord``.

    Attributes:
        found: Whether the host holds the record.
        value: The record.
    """

    found: bool
    value: bytes


class RecordsStored(NamedTuple):
    """Notifies a partner that records are in the store."""

    keys: list[str]


class RecordHostHere(NamedTuple):
    """Heartbeat of a record host to relay hosts.

    Attributes:
        host: Name of the record host.
        data_centre: Its data centre.
        address: IP address of its peer port.
        port: Its peer port.
        accepts: Whether it accepts new records.
    """

    host: str
    data_centre: str
    address: str
    port: int
    accepts: bool


class RelayHostHere(NamedTuple):
    """Announces a relay host to a record host that may not have it listed yet.

    Attributes:
        host: Name of the relay host.
        data_centre: Its data centre.
        address: IP address of its peer port.
        port: Its peer port.
    """

    host: str
    data_centre: str
    address: str
    port: int


class KeepForMe(NamedTuple):
    """Asks another relay host to write a record; fields as in ``KeepRecord``."""

    key: str
    value: bytes
    ttl_s: float


class FetchForMe(NamedTuple):
    """Asks another relay host to look up a record."""

    key: str


class FetchedForYou(NamedTuple):
    """The answer to ``FetchForMe``.

    Attributes:
        certain: Whether the record was found or certainly does not exist.
        found: Whether the record was found.
        value: The record.
    """

    certain: bool
    found: bool
    value: bytes
