"""Keeps this host's entry in the store."""

import asyncio

from loguru import logger
from mode import Service

from magnoliaroad.relay.host_entry import PREFIX, HostEntry
from magnoliaroad.relay.settings import FleetSettings
from magnoliaroad.store import LeaseLost, Store, StoreError

# Wait after a failed call, in seconds.
RETRY_S = 0.7


class Announcer(Service):
    """Writes the host's entry under a lease and renews the lease.

    Args:
        store: The store.
        cfg: Time limits.
        name: Name of the host.
        entry: What to announce.

    Attributes:
        announced: Whether the entry was written since the host's start.
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

    @Service.task
    async def _announce(self) -> None:
        while not self.should_stop:
            try:
                if not self._lease:
                    await self._register()
                await asyncio.sleep(self.cfg.lease_s / 3)
                await self._store.renew_lease(self._lease)
            except LeaseLost:
                self._lease = 0
            except StoreError as exc:
                logger.bind(reason=str(exc)).info("host not announced yet")
                await asyncio.sleep(RETRY_S)

    async def _register(self) -> None:
        lease = await self._store.grant_lease(self.cfg.lease_s)
        await self._store.put(PREFIX + self._name, self._entry.pack(), lease=lease)
        self._lease = lease
        self.announced = True
        logger.bind(host=self._name, relays=self._entry.relays).info("host announced")
