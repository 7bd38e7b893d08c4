"""Interface that every key-value service adapter implements."""

import abc
from collections.abc import Sequence

from magnoliaroad.store.entry import StoreEntry, StorePut
from magnoliaroad.store.watch import WatchBatch

# Longest key, in bytes, and longest time to live of a lease, in seconds, that every
# service accepts.
MAX_KEY_BYTES = 200
MAX_LEASE_S = 600.0


class Store(abc.ABC):
    """A key-value service with compare-and-swap, leases and watches.

    All methods raise ``StoreUnavailable`` if the service sent no usable response and
    ``StoreRateLimited`` if it rejected the call because of its rate limit.
    """

    @abc.abstractmethod
    async def get(self, key: str) -> StoreEntry | None:
        """Returns the entry of ``key``; ``None`` if it does not exist."""

    async def ping(self, key: str) -> None:
        """Checks that the service responds to a read of ``key``; stale data will do."""
        await self.get(key)

    @abc.abstractmethod
    async def list(self, prefix: str) -> WatchBatch:
        """Returns all entries whose keys start with ``prefix``, and the revision."""

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
            value: Value of at most ``StoreSettings.max_value_bytes``.
            expected: Revision that the entry must have; 0 if it must not exist;
                ``None`` writes unconditionally.
            lease: Lease that the entry is attached to; the entry is deleted when
                the lease ends.

        Raises:
            StoreConflict: The entry is not at ``expected``.
            LeaseLost: ``lease`` has expired.
            StoreRejected: The key or the value is too large.
        """

    async def put_many(self, puts: Sequence[StorePut]) -> Sequence[int]:
        """Writes several keys, in one call if the service supports it.

        Returns their new revisions.

        Raises:
            StoreConflict: At least one entry is not at its expected revision; none
                or some of the keys were written.
            LeaseLost: A lease has expired; none or some of the keys were written.
            StoreRejected: At least one key or value is too large; none or some of the
                keys were written.
        """
        return [await self.put(p.key, p.value, p.expected, p.lease) for p in puts]

    @abc.abstractmethod
    async def delete(self, key: str, expected: int | None = None) -> None:
        """Deletes ``key``; raises ``StoreConflict`` if it is not at ``expected``."""

    @abc.abstractmethod
    async def grant_lease(self, ttl_s: float) -> int:
        """Grants a lease that expires after ``ttl_s`` and returns its id.

        Args:
            ttl_s: Time to live in seconds; at most ``MAX_LEASE_S``.
        """

    @abc.abstractmethod
    async def renew_lease(self, lease: int) -> None:
        """Renews ``lease``; raises ``LeaseLost`` if it has expired."""

    @abc.abstractmethod
    async def revoke_lease(self, lease: int) -> None:
        """Revokes ``lease`` and deletes the entries attached to it."""

    @abc.abstractmethod
    async def watch(
        self, prefix: str, after: int, limit_s: float | None = None
    ) -> WatchBatch:
        """Waits for changes under ``prefix`` later than revision ``after``.

        Returns an empty batch after ``limit_s``, or after the adapter's default time
        limit if ``limit_s`` is ``None``.

        Raises:
            HistoryGone: The service has discarded changes later than ``after``.
        """

    @abc.abstractmethod
    async def close(self) -> None:
        """Closes the adapter's connections."""
