"""Result of a list or watch call."""

from typing import NamedTuple

from magnoliaroad.store.entry import StoreEntry


class WatchBatch(NamedTuple):
    """Entries or changes under a prefix, and the store revision that they include.

    Attributes:
        changed: The latest entry of each key that was written.
        deleted: Keys that were deleted or whose lease expired.
        revision: Revision to pass to the next watch call as ``after``.
    """

    changed: tuple[StoreEntry, ...]
    deleted: tuple[str, ...]
    revision: int
