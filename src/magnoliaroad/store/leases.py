"""Store leases that are shared by many records."""

import asyncio
import time
from collections.abc import Callable

from magnoliaroad.store.interface import MAX_LEASE_S, Store

# Added to a lease's time to live: the clock of a suspended host may stop for seconds.
CLOCK_MARGIN_S = 15.0
# Longest time for which a lease of the pool can hold a record, in seconds.
MAX_RETENTION_S = MAX_LEASE_S - CLOCK_MARGIN_S


class LeasePool:
    """Provides leases that last at least as long as a record's retention time.

    A lease is reused for one retention time after it was granted, so that few leases
    are needed. Its time to live is therefore twice the retention time plus a margin, or
    the longest that the store grants, and then it is reused for less.
    """

    def __init__(self, store: Store, now: Callable[[], float] = time.monotonic) -> None:
        self._store = store
        self._now = now
        self._leases: dict[float, tuple[int, float]] = {}
        self._lock = asyncio.Lock()

    async def get(self, retention_s: float) -> int:
        """Returns a lease that lasts at least ``retention_s`` from now.

        Args:
            retention_s: Time in seconds; a longer one counts as ``MAX_RETENTION_S``.
        """
        retention_s = min(retention_s, MAX_RETENTION_S)
        async with self._lock:
            lease, reusable_until = self._leases.get(retention_s, (0, 0.0))
            if self._now() < reusable_until:
                return lease
            granted_at = self._now()
            reuse_s = min(retention_s, MAX_RETENTION_S - retention_s)
            ttl_s = retention_s + reuse_s + CLOCK_MARGIN_S
            lease = await self._store.grant_lease(ttl_s)
            self._leases[retention_s] = (lease, granted_at + reuse_s)
            return lease

    def drop(self, lease: int) -> None:
        """Removes a lease that has ended early from the pool."""
        self._leases = {
            retention_s: entry
            for retention_s, entry in self._leases.items()
            if entry[0] != lease
        }
