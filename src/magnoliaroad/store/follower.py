"""Follows the changes of all keys with a prefix."""

from typing import NamedTuple

from magnoliaroad.store.entry import StoreEntry
from magnoliaroad.store.interface import Store


class PrefixChanges(NamedTuple):
    """Result of one watch call.

    Attributes:
        changed: Entries that were written.
        went_back: Whether the store's revision is lower than before: the store was
            restored from a backup, or served a stale read.
    """

    changed: tuple[StoreEntry, ...]
    went_back: bool


class PrefixFollower:
    """Watches a prefix, one call at a time.

    Args:
        store: The store.
        prefix: Prefix of the keys to watch.
        limit_s: Longest duration of one watch call. It bounds the time until a dead
            connection or a restored store is detected.
        after: Store revision up to which changes are already known.
    """

    def __init__(
        self, store: Store, prefix: str, limit_s: float, after: int = 0
    ) -> None:
        self.after = after
        self._store = store
        self._prefix = prefix
        self._limit_s = limit_s

    async def next(self) -> PrefixChanges:
        """Waits for changes since the last call and returns them.

        Returns without changes when the time limit passes.

        Raises:
            StoreError: The call failed.
        """
        batch = await self._store.watch(self._prefix, self.after, self._limit_s)
        went_back = batch.revision < self.after
        self.after = 0 if went_back else batch.revision
        return PrefixChanges(batch.changed, went_back)
