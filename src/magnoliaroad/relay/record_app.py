"""The application that runs on a host with a disk."""

import asyncio
import pathlib
import time

from loguru import logger
from mode import Service

from magnoliaroad.peers import PeerAddress, PeerService
from magnoliaroad.records.messages import RecordHostHere, RelayHostHere
from magnoliaroad.records.service import RecordService
from magnoliaroad.relay.announcer import Announcer
from magnoliaroad.relay.directory import Directory, Retirement
from magnoliaroad.relay.host_book import DIRECT_HOSTS
from magnoliaroad.relay.host_entry import PREFIX, HostEntry, unpack_host
from magnoliaroad.relay.metrics_server import MetricsServer
from magnoliaroad.relay.mirror import MirrorListener, PrefixMirror
from magnoliaroad.relay.settings import RelaySettings
from magnoliaroad.set_within import set_within
from magnoliaroad.store import Store, StoreEntry, StoreError, WatchBatch
from magnoliaroad.store.contact import StoreContact
from magnoliaroad.store.observed import ObservedStore

# Longest time that a host which stops takes to write its records to the store.
EMPTY_S = 3.0
# Wait after a failed call on the store, in seconds.
RETRY_S = 0.3
# Time for which a relay host that has asked is told that this host is there, in
# seconds; several times the interval at which forwarders ask.
ASKED_S = 3.0
# A retirement may be asked for seconds ahead, so this watch may stay open for long.
RETIREMENT_WATCH_S = 20.0


class RecordApplication(Service, MirrorListener):
    """Builds the parts of a record host, starts them in order and stops them.

    Args:
        cfg: Settings of the host.
        store: The platform's store.
        directory: How the store's entries are written.
    """

    def __init__(self, cfg: RelaySettings, store: Store, directory: Directory) -> None:
        super().__init__()
        self.cfg = cfg
        self.store = ObservedStore(store)
        self.contact = StoreContact(self.store, PREFIX + cfg.name)
        self._directory = directory
        address, _, port = cfg.listen.peers.rpartition(":")
        self.peers = PeerService(cfg.peers, cfg.name, address, int(port))
        self._entry = HostEntry(cfg.data_centre, address, int(port), relays=False)
        self.announcer = Announcer(self.store, cfg.fleet, cfg.name, self._entry)
        self.contact.on_regained.append(self.announcer.look)
        folder = pathlib.Path(cfg.data_folder or "data") / "records"
        self.records = RecordService(cfg.records, folder, self.store, self.peers)
        self.mirror = PrefixMirror(
            self.store,
            directory.retirement_prefix,
            cfg.follow._replace(watch_s=RETIREMENT_WATCH_S),
            self,
            follows=_always(),
            closely=lambda: True,
        )
        self._addresses: dict[str, PeerAddress] = {}
        self._relays: set[str] = set()
        self._asked_at: dict[str, float] = {}
        self._relist = asyncio.Event()
        self.announcer.on_announced = self._relist.set
        self.peers.on(RelayHostHere, self._on_relay)
        self._retiring: asyncio.Task[None] | None = None

    async def on_start(self) -> None:
        """Starts the parts; those that others need come first."""
        metrics = MetricsServer(self.cfg.listen.metrics)
        # The journal is read before anybody can ask for what stands in it.
        for part in (
            self.records,
            self.peers,
            self.contact,
            self.announcer,
            self.mirror,
            metrics,
        ):
            await self.add_runtime_dependency(part)
        logger.bind(host=self.cfg.name).info("host started")

    @Service.task
    async def _list(self) -> None:
        while not self.should_stop:
            # Of two hosts that start together, the one whose entry comes later finds
            # the other on the list.
            await set_within(self._relist, self.cfg.records.list_interval_s)
            self._relist.clear()
            try:
                batch = await self.store.list(PREFIX)
            except StoreError as exc:
                logger.bind(reason=str(exc)).info("hosts not listed")
                self._relist.set()
                await asyncio.sleep(RETRY_S)
                continue
            hosts = {
                entry.key.removeprefix(PREFIX): unpack_host(entry.value)
                for entry in batch.changed
            }
            self._learn(
                {host: entry.peer(host) for host, entry in hosts.items()},
                {host for host, entry in hosts.items() if entry.relays},
            )

    async def _on_relay(self, sender: str, here: RelayHostHere) -> None:
        self._asked_at[here.host] = time.monotonic()
        peer = PeerAddress(*here)
        if self._addresses.get(here.host) != peer:
            self._learn(
                {**self._addresses, here.host: peer}, {*self._relays, here.host}
            )

    def _learn(self, addresses: dict[str, PeerAddress], relays: set[str]) -> None:
        self._addresses = addresses
        self._relays = relays
        self.records.set_hosts(len(addresses.keys() - relays))
        self.peers.learn(list(addresses.values()))

    @Service.task
    async def _tell(self) -> None:
        while not self.should_stop:
            here = RecordHostHere(
                self.cfg.name,
                self.cfg.data_centre,
                self._entry.address,
                self._entry.port,
                self.records.accepts,
            )
            # A turn is denied once all hosts on the store's list deny it, so records
            # are taken only by hosts that are on it.
            if self.announcer.announced:
                self.peers.send_all(self._told(time.monotonic()), here)
            await asyncio.sleep(self.cfg.records.here_interval_s)

    def _told(self, now: float) -> list[str]:
        """Returns the relay hosts that are told that this host is there.

        In a large fleet those that have asked lately pass it on to the others.
        """
        asking = [h for h, at in self._asked_at.items() if now - at < ASKED_S]
        if len(self._relays) < DIRECT_HOSTS or not asking:
            return list(self._relays)
        return asking

    def on_snapshot(
        self, entries: dict[str, StoreEntry], revision: int, after_loss: bool
    ) -> None:
        """Takes all retirements that are asked for."""
        for key in entries:
            self._look(key)

    def on_batch(self, batch: WatchBatch) -> None:
        """Takes retirements that were asked for lately."""
        for entry in batch.changed:
            self._look(entry.key)

    def _look(self, key: str) -> None:
        asked = self._directory.read_retirement(key)
        if asked is None or asked.host != self.cfg.name or self._retiring is not None:
            return
        logger.bind(host=asked.host).info("retirement begun")
        self._retiring = asyncio.create_task(self._retire(asked))

    async def _retire(self, asked: Retirement) -> None:
        await self._say(asked.status_key, asked.begun)
        while not await self.records.empty():
            await asyncio.sleep(RETRY_S)
        await self._say(asked.status_key, asked.done)
        logger.bind(host=asked.host).info("retirement completed")

    async def _say(self, key: str, value: bytes) -> None:
        while True:
            try:
                await self.store.put(key, value)
                return
            except StoreError as exc:
                logger.bind(key=key, reason=str(exc)).warning("status not written yet")
                await asyncio.sleep(RETRY_S)

    async def drain(self) -> None:
        """Writes what the store does not hold yet."""
        logger.bind(host=self.cfg.name).info("host stops")
        try:
            async with asyncio.timeout(EMPTY_S):
                await self.records.empty()
        except TimeoutError:
            logger.info("records stay in the journal")

    async def on_shutdown(self) -> None:
        """Frees the store's connections after all parts have stopped."""
        if self._retiring is not None:
            self._retiring.cancel()
        await self.store.close()
        logger.bind(host=self.cfg.name).info("host stopped")


def _always() -> asyncio.Event:
    event = asyncio.Event()
    event.set()
    return event
