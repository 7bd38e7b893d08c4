"""Keeps this host's entry in the store."""

from loguru import logger
from typing_extensions import override

from magnoliaroad.relay.host_entry import PREFIX, HostEntry
from magnoliaroad.relay.leased_entry import LeasedEntry
from magnoliaroad.relay.settings import FleetSettings
from magnoliaroad.store import Store


class Announcer(LeasedEntry):
    """Lists the host in the store; a host that stops removes itself from the list.

    Args:
        store: The store.
        cfg: Time limits.
        name: Name of the host.
        entry: The entry to write.
    """

    def __init__(
        self, store: Store, cfg: FleetSettings, name: str, entry: HostEntry
    ) -> None:
        super().__init__(store, cfg.lease_s, PREFIX + name, entry.pack())
        self._name = name
        self._relays = entry.relays

    @override
    async def _register(self) -> None:
        await super()._register()
        logger.bind(host=self._name, relays=self._relays).info("host announced")
