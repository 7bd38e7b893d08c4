"""Keeps a host's configuration up to date from the store and from peers."""

import asyncio
import pathlib
from collections.abc import Callable

from loguru import logger
from mode import Service

from magnoliaroad.background import background_task
from magnoliaroad.config import metrics
from magnoliaroad.config.document import Config
from magnoliaroad.config.exchange import PeerExchange
from magnoliaroad.config.fetch import PartFetcher
from magnoliaroad.config.location import HostLocation
from magnoliaroad.config.replica import ConfigReplica
from magnoliaroad.config.settings import ConfigSettings
from magnoliaroad.config.store_sync import StoreSync
from magnoliaroad.config.topology import GossipTopology
from magnoliaroad.config.updater import ConfigUpdater
from magnoliaroad.peers import Peers
from magnoliaroad.store import Store, StoreError

RETRY_DELAY_S = 0.5

DEFAULTS = ConfigSettings()
UNKNOWN_LOCATION = HostLocation("", "")

Listener = Callable[[Config], None]


class ConfigService(Service):
    """Receives new configurations from the store and peers, and notifies peers.

    Args:
        store: The platform's key-value service.
        peers: Connections to the other hosts.
        cfg: Settings of the configuration's distribution.
        location: Data centre and name of this host.
        folder: Folder to save the last configuration in; ``None`` disables saving.
        defer_activation: Whether no configuration is active until ``confirm`` succeeds.

    Attributes:
        topology: Chooses the peers that this host gossips with.
    """

    def __init__(
        self,
        store: Store,
        peers: Peers,
        cfg: ConfigSettings = DEFAULTS,
        location: HostLocation = UNKNOWN_LOCATION,
        folder: pathlib.Path | None = None,
        defer_activation: bool = False,
    ) -> None:
        super().__init__()
        self.cfg = cfg
        self.peers = peers
        self.replica = ConfigReplica(defer_activation)
        self.topology = GossipTopology(peers, location, cfg.watchers_per_data_centre)
        fetcher = PartFetcher(self.replica, store, peers, cfg.exchange_timeout_s)
        self._updater = ConfigUpdater(
            self.replica, fetcher, self.topology, folder, self._on_activated
        )
        self._store_sync = StoreSync(
            store, self._updater, self.topology, cfg.watch_limit_s
        )
        self._exchange = PeerExchange(peers, cfg, self._updater)
        self._listeners: list[Listener] = []
        self._confirm_requested = asyncio.Event()

    @property
    def current(self) -> Config:
        """The active configuration; revision 0 until there is one."""
        return self.replica.current

    def on_change(self, listener: Listener) -> None:
        """Calls ``listener`` with each configuration that becomes active."""
        self._listeners.append(listener)

    async def on_start(self) -> None:
        """Loads the configuration from the data folder and reads the store once."""
        self._updater.load()
        await self._store_sync.read()

    async def confirm(self) -> bool:
        """Reads the store, compares with peers and activates the newest configuration.

        A restarted host may have an older configuration than it served before. It
        has no active configuration until the store, a peer or its data folder has
        provided one.

        Returns:
            ``False`` when neither the store nor a peer has answered and the data folder
            has no configuration; the service keeps retrying.
        """
        self._confirm_requested.set()
        hosts = self.topology.gossip_peers()
        requests = [self._store_sync.read(), *map(self._exchange.compare, hosts)]
        tasks = [asyncio.create_task(request) for request in requests]
        done, pending = await asyncio.wait(tasks, timeout=self.cfg.confirm_timeout_s)
        for task in pending:
            task.cancel()
        if not self._updater.has_saved_config and not any(
            task.result() for task in done
        ):
            logger.warning("not ready: neither the store nor a peer has answered")
            return False
        self._updater.activate()
        return True

    @background_task
    async def _retry_confirm(self) -> None:
        await self._confirm_requested.wait()
        while self.replica.activation_deferred:
            await asyncio.sleep(RETRY_DELAY_S)
            if self.replica.activation_deferred:
                await self.confirm()

    @background_task
    async def _watch_store(self) -> None:
        while not self.should_stop:
            watching = self.topology.is_watcher()
            metrics.WATCHING.set({}, int(watching))
            if not watching or not await self._watch_once():
                await asyncio.sleep(RETRY_DELAY_S)

    async def _watch_once(self) -> bool:
        try:
            return not await self._store_sync.watch()
        except StoreError:
            return False

    @background_task
    async def _compare_periodically(self) -> None:
        while not self.should_stop:
            await asyncio.sleep(self._exchange.next_interval_s())
            host = self.topology.next_gossip_peer()
            if host is not None:
                await self._exchange.compare(host)

    def _on_activated(self, config: Config, source: str) -> None:
        metrics.REVISION.set({}, config.revision)
        logger.bind(revision=config.revision, source=source).info(
            "configuration in force"
        )
        self._exchange.notify([h for h in self.topology.gossip_peers() if h != source])
        for listener in self._listeners:
            listener(config)
