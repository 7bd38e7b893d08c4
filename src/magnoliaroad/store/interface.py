"""The interface that each adapter for a key-value service implements."""

import abc
from collections.abc import Sequence

from magnoliaroad.store.entry import StoreEntry, StorePut
from magnoliaroad.store.watch import WatchBatch


class Store(abc.ABC):
    """A key-value service with compare-and-swap, leases and watches.

    All methods raise ``StoreUnavailable`` when no answer came and
    ``StoreRateLimited`` when the service refused the call.
    """

    @abc.abstractmethod
    async def get(self, key: str) -> StoreEntry | None:
        """Returns the entry of ``key``, or ``None``."""

    async def ping(self, key: str) -> None:
        """Returns if the service answers a question for ``key``, however old."""
        await self.get(key)

    @abc.abstractmethod
    async def list(self, prefix: str) -> WatchBatch:
        """Returns all entries under ``prefix`` and the store's revision."""

    @abc.abstractmethod
    async def put(
        self,
        key: str,
        value: bytes,
        expected: int | None = None,
        lease: int | None = None,
    ) -> int:
        """Writes ``key`` and returns its new revision.

        Args:
            key: Key to write.
            value: At most 1 MB.
            expected: Revision the entry must have; 0 when it must not exist;
                ``None`` writes in any case.
            lease: Lease whose end deletes the entry.

        Raises:
            StoreConflict: The entry is not at ``expected``.
            LeaseLost: ``lease`` has lapsed.
        """

    async def put_many(self, puts: Sequence[StorePut]) -> Sequence[int]:
        """Writes several keys, in one call where the service can.

        Returns their new revisions.

        Raises:
            StoreConflict: An entry is not at the revision that is expected of it, or
                another one is not; nothing or a part was written.
            LeaseLost: A lease has lapsed; nothing or a part was written.
        """
        return [await self.put(p.key, p.value, p.expected, p.lease) for p in puts]

    @abc.abstractmethod
    async def delete(self, key: str, expected: int | None = None) -> None:
        """Deletes ``key``; raises ``StoreConflict`` as ``put`` does."""

    @abc.abstractmethod
    async def grant_lease(self, ttl_s: float) -> int:
        """Returns the id of a new lease that lapses after ``ttl_s``."""

    @abc.abstractmethod
    async def renew_lease(self, lease: int) -> None:
        """Renews ``lease``; raises ``LeaseLost`` when it has lapsed."""

    @abc.abstractmethod
    async def revoke_lease(self, lease: int) -> None:
        """Ends ``lease`` and deletes its entries."""

    @abc.abstractmethod
    async def watch(
        self, prefix: str, after: int, limit_s: float | None = None
    ) -> WatchBatch:
        """Waits for changes under ``prefix`` later than revision ``after``.

        Returns an empty batch after ``limit_s``, or after a time that the adapter
        sets.

        Raises:
            HistoryGone: Changes after ``after`` are no longer kept.
        """

    @abc.abstractmethod
    async def close(self) -> None:
        """Frees what the adapter holds."""
