"""Calls on the store that a share protocol asks for."""

import enum
from typing import NamedTuple

from magnoliaroad.store import StoreEntry


class StoreOperation(enum.Enum):
    """What a store call does."""

    CREATE = "create"
    WRITE = "write"
    LIST = "list"


class StoreCall(NamedTuple):
    """A call to carry out.

    Attributes:
        operation: ``CREATE`` writes unless the key exists; as a conflict it
            reads what the store holds now, where a plain read may be stale.
        queued_at: Time at which the call was decided on.
        key: Key, or prefix of a list.
        value: Value to write.
        expected: Revision in the store that a ``WRITE`` replaces.
    """

    operation: StoreOperation
    queued_at: float
    key: str
    value: bytes = b""
    expected: int = 0


class StoreOutcome(NamedTuple):
    """What came of a call.

    Attributes:
        written: Whether a write took effect.
        entries: The entry that was in the way, or the entries listed.
        revision: Revision in the store after a write that took effect.
    """

    written: bool = False
    entries: tuple[StoreEntry, ...] = ()
    revision: int = 0
