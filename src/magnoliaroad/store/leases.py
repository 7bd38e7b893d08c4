"""Leases of the store that many records share."""

import asyncio
import time
from collections.abc import Callable

from magnoliaroad.store.interface import Store

# Added to a lease's life: a suspended host's clock may stand still for seconds.
MARGIN_S = 15.0


class LeasePool:
    """Grants leases that live at least as long as a record must be kept.

    A lease serves all records written in a span as long as their retention, so that
    few are granted.
    """

    def __init__(self, store: Store, now: Callable[[], float] = time.monotonic) -> None:
        self._store = store
        self._now = now
        self._leases: dict[float, tuple[int, float]] = {}
        self._lock = asyncio.Lock()

    async def get(self, keep_s: float) -> int:
        """Returns a lease that ends no sooner than ``keep_s`` from now."""
        async with self._lock:
            lease, until = self._leases.get(keep_s, (0, 0.0))
            if self._now() < until:
                return lease
            began = self._now()
            lease = await self._store.grant_lease(2 * keep_s + MARGIN_S)
            self._leases[keep_s] = (lease, began + keep_s)
            return lease

    def drop(self, lease: int) -> None:
        """Forgets a lease that has ended early."""
        self._leases = {
            keep_s: held for keep_s, held in self._leases.items() if held[0] != lease
        }
