"""Entries of the store and writes to it."""

from typing import NamedTuple


class StoreEntry(NamedTuple):
    """A key with its value and the store revision of its last change."""

    key: str
    value: bytes
    revision: int


class StorePut(NamedTuple):
    """One write of ``Store.put_many``.

    Attributes:
        lease: Lease that the entry is attached to; the entry is deleted when the
            lease ends.
        expected: Revision that the entry must have; 0 if it must not exist; ``None``
            writes unconditionally.
    """

    key: str
    value: bytes
    lease: int | None = None
    expected: int | None = None
