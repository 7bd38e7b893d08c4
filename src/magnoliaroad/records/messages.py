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


class KeepRecordReply(NamedTuple):
    """The reply to ``KeepRecord`` and ``ProxyKeepRequest``.

    Attributes:
        synced: Whether the record is durable: on the host's disk or, for
            ``ProxyKeepRequest``, on enough disks or in the store.
    """

    TAG = "RecordKept"

    synced: bool


class FetchRecord(NamedTuple):
    """Requests a record from a record host."""

    key: str


class FetchRecordReply(NamedTuple):
    """The reply to ``FetchRecord``.

    Attributes:
        found: Whether the host holds the record.
        value: The record.
    """

    TAG = "RecordFound"

    found: bool
    value: bytes


class RecordsStored(NamedTuple):
    """Notifies a partner that records are in the store."""

    keys: list[str]


class RecordHostHeartbeat(NamedTuple):
    """Heartbeat of a record host to relay hosts.

    Attributes:
        host: Name of the record host.
        data_centre: Its data centre.
        address: IP address of its peer port.
        port: Its peer port.
        accepts: Whether it accepts new records.
    """

    TAG = "RecordHostHere"

    host: str
    data_centre: str
    address: str
    port: int
    accepts: bool


class RelayHostAnnouncement(NamedTuple):
    """Announces a relay host to a record host that may not have it listed yet.

    Attributes:
        host: Name of the relay host.
        data_centre: Its data centre.
        address: IP address of its peer port.
        port: Its peer port.
    """

    TAG = "RelayHostHere"

    host: str
    data_centre: str
    address: str
    port: int


class ProxyKeepRequest(NamedTuple):
    """Asks another relay host to write a record; fields as in ``KeepRecord``."""

    TAG = "KeepForMe"

    key: str
    value: bytes
    ttl_s: float


class ProxyFetchRequest(NamedTuple):
    """Asks another relay host to look up a record."""

    TAG = "FetchForMe"

    key: str


class ProxyFetchReply(NamedTuple):
    """The reply to ``ProxyFetchRequest``.

    Attributes:
        certain: Whether the record was found or certainly does not exist.
        found: Whether the record was found.
        value: The record.
    """

    TAG = "FetchedForYou"

    certain: bool
    found: bool
    value: bytes
