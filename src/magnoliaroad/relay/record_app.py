"""The application that runs on a host with a disk."""

from loguru import logger
from mode import Service

from magnoliaroad.peers import PeerService
from magnoliaroad.relay.announcer import Announcer
from magnoliaroad.relay.host_entry import HostEntry
from magnoliaroad.relay.settings import RelaySettings
from magnoliaroad.store import Store


class RecordApplication(Service):
    """Builds the parts of a record host, starts them in order and stops them.

    Args:
        cfg: Settings of the host.
        store: The platform's store.
    """

    def __init__(self, cfg: RelaySettings, store: Store) -> None:
        super().__init__()
        self.cfg = cfg
        self.store = store
        address, _, port = cfg.listen.peers.rpartition(":")
        self.peers = PeerService(cfg.peers, cfg.name, address, int(port))
        entry = HostEntry(cfg.data_centre, address, int(port), relays=False)
        self.announcer = Announcer(store, cfg.fleet, cfg.name, entry)

    async def on_start(self) -> None:
        """Starts the parts; those that others need come first."""
        for part in (self.peers, self.announcer):
            await self.add_runtime_dependency(part)
        logger.bind(host=self.cfg.name).info("host started")

    async def drain(self) -> None:
        """Says that the host stops."""
        logger.bind(host=self.cfg.name).info("host stops")

    async def on_shutdown(self) -> None:
        """Frees the store's connections after all parts have stopped."""
        await self.store.close()
        logger.bind(host=self.cfg.name).info("host stopped")
