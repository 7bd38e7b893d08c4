"""Messages between relay hosts and record hosts."""

from typing import NamedTuple


class KeepRecord(NamedTuple):
    """Asks a record host to keep a record.

    Attributes:
        key: Key of the record in the store.
        value: The record.
        ttl_s: How long the store is to hold it.
        partners: Record hosts that are asked for the same.
        writes_first: Whether this host writes it to the store; its partners do so only
            if they do not hear that it was done.
    """

    key: str
    value: bytes
    ttl_s: float
    partners: list[str]
    writes_first: bool


class RecordKept(NamedTuple):
    """The answer to ``KeepRecord``.

    Attributes:
        synced: Whether the record is on the disk.
    """

    synced: bool


class FetchRecord(NamedTuple):
    """Asks a record host for a record."""

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
    """Tells a partner that records are in the store."""

    keys: list[str]


class RecordHostHere(NamedTuple):
    """Tells relay hosts that a record host takes records.

    Attributes:
        host: Its name.
        data_centre: Where it stands.
        address: IP address of its peer port.
        port: Its peer port.
        accepts: Whether it takes new records.
    """

    host: str
    data_centre: str
    address: str
    port: int
    accepts: bool


class RelayHostHere(NamedTuple):
    """Tells a record host of a relay host that may not stand on its list yet.

    Attributes:
        host: Its name.
        data_centre: Where it stands.
        address: IP address of its peer port.
        port: Its peer port.
    """

    host: str
    data_centre: str
    address: str
    port: int


class KeepForMe(NamedTuple):
    """Asks another relay host to keep a record; its fields are ``KeepRecord``'s."""

    key: str
    value: bytes
    ttl_s: float


class FetchForMe(NamedTuple):
    """Asks another relay host for a record."""

    key: str


class FetchedForYou(NamedTuple):
    """The answer to ``FetchForMe``.

    Attributes:
        certain: Whether it is certain that there is no record, or it was found.
        found: Whether the record was found.
        value: The record.
    """

    certain: bool
    found: bool
    value: bytes
