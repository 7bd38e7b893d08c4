"""Follows the changes under a prefix of the store."""

from typing import NamedTuple

from magnoliaroad.store.entry import StoreEntry
from magnoliaroad.store.interface import Store


class PrefixChanges(NamedTuple):
    """What one watch call brought.

    Attributes:
        changed: Entries that were written.
        went_back: Whether the store answered from an older state than before,
            because it was set back or answers with stale data.
    """

    changed: tuple[StoreEntry, ...]
    went_back: bool


class PrefixFollower:
    """Watches a prefix call by call.

    Args:
        store: The store.
        prefix: Prefix of the keys to watch.
        limit_s: Longest time that one call stays open. It bounds how long a
            connection that has gone silent, or a store that was set back, goes
            unnoticed.
        after: Revision of the store that is known already.
    """

    def __init__(
        self, store: Store, prefix: str, limit_s: float, after: int = 0
    ) -> None:
        self.after = after
        self._store = store
        self._prefix = prefix
        self._limit_s = limit_s

    async def next(self) -> PrefixChanges:
        """Returns the changes since the last call, waiting for one.

        Raises:
            StoreError: The store did not answer.
        """
        batch = await self._store.watch(self._prefix, self.after, self._limit_s)
        went_back = batch.revision < self.after
        self.after = 0 if went_back else batch.revision
        return PrefixChanges(batch.changed, went_back)
