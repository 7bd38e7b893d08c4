"""Keeps this host's entry in the store."""

import asyncio
import random
from collections.abc import Callable

from loguru import logger
from mode import Service

from magnoliaroad.event_wait import wait_for_event
from magnoliaroad.relay.host_entry import PREFIX, HostEntry
from magnoliaroad.relay.settings import FleetSettings
from magnoliaroad.store import LeaseLost, Store, StoreError

# Wait after a failed call on the store, in seconds.
RETRY_S = 0.7
# Longest wait for the store to revoke the lease when the host stops, in seconds.
REVOKE_TIMEOUT_S = 0.3
# Largest random delay, in seconds, before leases are renewed once the store is back, so
# that hosts do not all call it at the same time.
RENEWAL_JITTER_S = 0.3


class Announcer(Service):
    """Writes the host's entry under a lease and renews the lease.

    Args:
        store: The store.
        cfg: Time limits.
        name: Name of the host.
        entry: The entry to write.

    Attributes:
        announced: Whether the entry has been written since the host's start.
        on_announced: Called after each write of the entry.
    """

    def __init__(
        self, store: Store, cfg: FleetSettings, name: str, entry: HostEntry
    ) -> None:
        super().__init__()
        self.cfg = cfg
        self._store = store
        self._name = name
        self._entry = entry
        self._lease = 0
        self.announced = False
        self.on_announced: Callable[[], None] = lambda: None
        self._renew_now = asyncio.Event()

    def renew_soon(self) -> None:
        """Requests a renewal soon; the lease may have expired with the store away."""
        self._renew_now.set()

    async def on_stop(self) -> None:
        """Revokes the lease and so removes the entry, for peers to drop this host."""
        if not self._lease:
            return
        try:
            async with asyncio.timeout(REVOKE_TIMEOUT_S):
                await self._store.revoke_lease(self._lease)
        except (StoreError, TimeoutError) as exc:
            logger.bind(reason=repr(exc)).info(
                "lease not revoked, entry stays until it expires"
            )

    @Service.task
    async def _announce(self) -> None:
        while not self.should_stop:
            try:
                if not self._lease:
                    await self._register()
                await self._wait_for_renewal()
                await self._store.renew_lease(self._lease)
            except LeaseLost:
                self._lease = 0
            except StoreError as exc:
                logger.bind(reason=str(exc)).info("cannot announce host, retrying")
                await asyncio.sleep(RETRY_S)

    async def _wait_for_renewal(self) -> None:
        """Waits until the lease is due for renewal."""
        if await wait_for_event(self._renew_now, self.cfg.lease_s / 3):
            self._renew_now.clear()
            await asyncio.sleep(random.uniform(0.0, RENEWAL_JITTER_S))

    async def _register(self) -> None:
        lease = await self._store.grant_lease(self.cfg.lease_s)
        await self._store.put(PREFIX + self._name, self._entry.pack(), lease=lease)
        self._lease = lease
        self.announced = True
        logger.bind(host=self._name, relays=self._entry.relays).info("host announced")
        self.on_announced()
