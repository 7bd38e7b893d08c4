"""Keeps this host's entry in the store."""

import asyncio
import random
from collections.abc import Callable

from loguru import logger
from mode import Service

from magnoliaroad.relay.host_entry import PREFIX, HostEntry
from magnoliaroad.relay.settings import FleetSettings
from magnoliaroad.set_within import set_within
from magnoliaroad.store import LeaseLost, Store, StoreError

# Wait after a failed call, in seconds.
RETRY_S = 0.7
# Longest wait for the store when the host stops.
LEAVE_S = 0.3
# Hosts look after their entries within this time after the store has answered again.
SPREAD_S = 0.3


class Announcer(Service):
    """Writes the host's entry under a lease and renews the lease.

    Args:
        store: The store.
        cfg: Time limits.
        name: Name of the host.
        entry: What to announce.

    Attributes:
        announced: Whether the entry was written since the host's start.
        on_announced: Is called each time that it was written.
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
        self._look = asyncio.Event()

    def look(self) -> None:
        """Makes the entry be renewed soon; it may have lapsed with the store."""
        self._look.set()

    async def on_stop(self) -> None:
        """Takes the entry away, so that peers do not wait for this host."""
        if not self._lease:
            return
        try:
            async with asyncio.timeout(LEAVE_S):
                await self._store.revoke_lease(self._lease)
        except (StoreError, TimeoutError) as exc:
            logger.bind(reason=repr(exc)).info("entry left to its lease")

    @Service.task
    async def _announce(self) -> None:
        while not self.should_stop:
            try:
                if not self._lease:
                    await self._register()
                await self._rest()
                await self._store.renew_lease(self._lease)
            except LeaseLost:
                self._lease = 0
            except StoreError as exc:
                logger.bind(reason=str(exc)).info("host not announced yet")
                await asyncio.sleep(RETRY_S)

    async def _rest(self) -> None:
        """Waits until the lease is to be renewed."""
        if await set_within(self._look, self.cfg.lease_s / 3):
            self._look.clear()
            await asyncio.sleep(random.uniform(0.0, SPREAD_S))

    async def _register(self) -> None:
        lease = await self._store.grant_lease(self.cfg.lease_s)
        await self._store.put(PREFIX + self._name, self._entry.pack(), lease=lease)
        self._lease = lease
        self.announced = True
        logger.bind(host=self._name, relays=self._entry.relays).info("host announced")
        self.on_announced()
