"""Calls to the store that the share protocol requests."""

import enum
from typing import NamedTuple

from magnoliaroad.store import StoreEntry


class StoreOperation(enum.Enum):
    """The kinds of store call."""

    CREATE = "create"
    WRITE = "write"
    LIST = "list"


class StoreCall(NamedTuple):
    """A store call to make.

    Attributes:
        operation: ``CREATE`` writes unless the key exists. If it exists, the
            conflict returns the current entry, where a plain read may be stale.
        queued_at: Time at which the call was queued.
        key: Key, or key prefix for a ``LIST``.
        value: Value to write.
        expected: Revision in the store that a ``WRITE`` replaces.
    """

    operation: StoreOperation
    queued_at: float
    key: str
    value: bytes = b""
    expected: int = 0


class StoreOutcome(NamedTuple):
    """The outcome of a call.

    Attributes:
        written: Whether a write took effect.
        entries: The entry that a write conflicted with, or the listed entries.
        revision: Revision in the store after a write that took effect.
    """

    written: bool = False
    entries: tuple[StoreEntry, ...] = ()
    revision: int = 0
