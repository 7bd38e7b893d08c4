"""Store leases that are shared by many records."""

import asyncio
import time
from collections.abc import Callable

from magnoliaroad.store.interface import Store

# Added to a lease's time to live: the clock of a suspended host may stop for seconds.
CLOCK_MARGIN_S = 15.0


class LeasePool:
    """Provides leases that last at least as long as a record's retention time.

    A lease is reused for one retention time after it was granted, so that few leases
    are needed. Its time to live is therefore twice the retention time plus a margin.
    """

    def __init__(self, store: Store, now: Callable[[], float] = time.monotonic) -> None:
        self._store = store
        self._now = now
        self._leases: dict[float, tuple[int, float]] = {}
        self._lock = asyncio.Lock()

    async def get(self, retention_s: float) -> int:
        """Returns a lease that lasts at least ``retention_s`` from now."""
        async with self._lock:
            lease, reusable_until = self._leases.get(retention_s, (0, 0.0))
            if self._now() < reusable_until:
                return lease
            granted_at = self._now()
            lease = await self._store.grant_lease(2 * retention_s + CLOCK_MARGIN_S)
            self._leases[retention_s] = (lease, granted_at + retention_s)
            return lease

    def drop(self, lease: int) -> None:
        """Removes a lease that has ended early from the pool."""
        self._leases = {
            retention_s: entry
            for retention_s, entry in self._leases.items()
            if entry[0] != lease
        }
