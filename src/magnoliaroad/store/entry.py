"""One entry of the store."""

from typing import NamedTuple


class StoreEntry(NamedTuple):
    """A key with its value and the revision of its last change."""

    key: str
    value: bytes
    revision: int


class StorePut(NamedTuple):
    """A key to be written, with the lease whose end deletes it."""

    key: str
    value: bytes
    lease: int | None = None
