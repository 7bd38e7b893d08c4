"""One entry of the store."""

from typing import NamedTuple


class StoreEntry(NamedTuple):
    """A key with its value and the revision of its last change."""

    key: str
    value: bytes
    revision: int


class StorePut(NamedTuple):
    """A key to be written.

    Attributes:
        lease: The lease whose end deletes the entry.
        expected: Revision the entry must have; 0 when it must not exist; ``None``
            writes in any case.
    """

    key: str
    value: bytes
    lease: int | None = None
    expected: int | None = None
