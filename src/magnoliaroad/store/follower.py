"""Follows the changes of all keys with a prefix."""

from typing import NamedTuple

from magnoliaroad.store.entry import StoreEntry
from magnoliaroad.store.interface import Store


class PrefixChanges(NamedTuple):
    """Result of one watch call.

    Attributes:
        changed: Entries that were written.
        revision_decreased: Whether the store's revision is lower than before: the
            store was restored from a backup, or served a stale read.
    """

    changed: tuple[StoreEntry, ...]
    revision_decreased: bool


class PrefixFollower:
    """Watches a prefix, one call at a time.

    Args:
        store: The store.
        prefix: Prefix of the keys to watch.
        limit_s: Longest duration of one watch call. It bounds the time until a dead
            connection or a restored store is detected.
        known_revision: Store revision up to which changes are already known.
    """

    def __init__(
        self, store: Store, prefix: str, limit_s: float, known_revision: int = 0
    ) -> None:
        self.known_revision = known_revision
        self._store = store
        self._prefix = prefix
        self._limit_s = limit_s

    async def next_changes(self) -> PrefixChanges:
        """Waits for changes since the last call and returns them.

        Returns without changes when the time limit passes.

        Raises:
            StoreError: The call failed.
        """
        batch = await self._store.watch(
            self._prefix, self.known_revision, self._limit_s
        )
        revision_decreased = batch.revision < self.known_revision
        self.known_revision = 0 if revision_decreased else batch.revision
        return PrefixChanges(batch.changed, revision_decreased)
