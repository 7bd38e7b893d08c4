"""An entry of the store that exists as long as this host renews its lease."""

import asyncio
import random
from collections.abc import Callable

from loguru import logger
from mode import Service

from magnoliaroad.background import background_task
from magnoliaroad.event_wait import wait_for_event
from magnoliaroad.store import LeaseLost, Store, StoreError

# Wait after a failed call on the store, in seconds.
RETRY_S = 0.7
# Longest wait for the store to revoke the lease when the host stops, in seconds.
REVOKE_TIMEOUT_S = 0.3
# Largest random delay, in seconds, before leases are renewed once the store is back, so
# that hosts do not all call it at the same time.
RENEWAL_JITTER_S = 0.3


class LeasedEntry(Service):
    """Writes an entry under a lease and renews the lease.

    Args:
        store: The store.
        lease_s: Time to live of the entry after the last renewal, in seconds.
        key: Key of the entry.
        value: Its value.

    Attributes:
        announced: Whether the entry has been written since the host's start.
        on_announced: Called after each write of the entry.
    """

    def __init__(self, store: Store, lease_s: float, key: str, value: bytes) -> None:
        super().__init__()
        self._store = store
        self._lease_s = lease_s
        self._key = key
        self._value = value
        self._lease = 0
        self.announced = False
        self.on_announced: Callable[[], None] = lambda: None
        self._renew_now = asyncio.Event()

    def renew_soon(self) -> None:
        """Requests a renewal soon; the lease may have expired with the store away."""
        self._renew_now.set()

    async def on_stop(self) -> None:
        """Revokes the lease and so removes the entry."""
        if not self._lease:
            return
        try:
            async with asyncio.timeout(REVOKE_TIMEOUT_S):
                await self._store.revoke_lease(self._lease)
        except (StoreError, TimeoutError) as exc:
            logger.bind(key=self._key, reason=repr(exc)).info(
                "lease not revoked, entry stays until it expires"
            )

    @background_task
    async def _announce(self) -> None:
        if self._lease:
            # Restarted after a failure, for which the renewal may be overdue.
            self._renew_now.set()
        while not self.should_stop:
            try:
                if not self._lease:
                    await self._register()
                await self._wait_for_renewal()
                await self._store.renew_lease(self._lease)
            except LeaseLost as exc:
                if not self._lease:
                    # The store does not know a lease that it has just granted.
                    await self._retry_later(exc)
                self._lease = 0
            except StoreError as exc:
                await self._retry_later(exc)

    async def _retry_later(self, exc: StoreError) -> None:
        logger.bind(key=self._key, reason=str(exc)).info(
            "cannot announce host, retrying"
        )
        await asyncio.sleep(RETRY_S)

    async def _wait_for_renewal(self) -> None:
        """Waits until the lease is due for renewal."""
        if await wait_for_event(self._renew_now, self._lease_s / 3):
            self._renew_now.clear()
            await asyncio.sleep(random.uniform(0.0, RENEWAL_JITTER_S))

    async def _register(self) -> None:
        lease = await self._store.grant_lease(self._lease_s)
        await self._store.put(self._key, self._value, lease=lease)
        self._lease = lease
        self.announced = True
        self.on_announced()
