"""The application of a record host, which keeps records on its disk."""

import asyncio
import pathlib
import time

from loguru import logger
from mode import Service

from magnoliaroad.background import background_task, run_restarting
from magnoliaroad.caller_load.limits import CallerLimits
from magnoliaroad.event_wait import wait_for_event
from magnoliaroad.memory import MemoryHolder, MemoryWatch
from magnoliaroad.peers import PeerAddress, PeerService
from magnoliaroad.records.messages import RecordHostHeartbeat, RelayHostAnnouncement
from magnoliaroad.records.service import RecordService
from magnoliaroad.relay.announcer import Announcer
from magnoliaroad.relay.entry_decoder import EntryDecoder, Retirement
from magnoliaroad.relay.escrow_service import EscrowService
from magnoliaroad.relay.heartbeat_tracker import MAX_DIRECT_HOSTS
from magnoliaroad.relay.host_entry import PREFIX, HostEntry, unpack_hosts
from magnoliaroad.relay.journal_mark import JournalMark
from magnoliaroad.relay.metrics_server import MetricsServer
from magnoliaroad.relay.mirror import MirrorListener, PrefixMirror
from magnoliaroad.relay.settings import RelaySettings
from magnoliaroad.relay.stream_origin_service import StreamOriginService
from magnoliaroad.store import Store, StoreEntry, StoreError, WatchBatch
from magnoliaroad.store.contact import StoreContact
from magnoliaroad.store.observed import ObservedStore

# Longest time in which a stopping host writes its records to the store, in seconds.
DRAIN_TIMEOUT_S = 3.0
# Wait after a failed call on the store, in seconds.
RETRY_S = 0.3
# Time for which a relay host gets announcements after its last message, in seconds;
# several times the interval at which forwarders send theirs.
RELAY_CONTACT_S = 3.0
# Time limit of a watch for retirements, in seconds. It may be long, because a
# retirement may be requested seconds ahead.
RETIREMENT_WATCH_S = 20.0


class RecordApplication(Service, MirrorListener):
    """Builds, starts and stops the services of a record host.

    Args:
        cfg: Settings of the host.
        store: The platform's store.
        decoder: Reads the operator's entries in the store.
    """

    def __init__(self, cfg: RelaySettings, store: Store, decoder: EntryDecoder) -> None:
        super().__init__()
        self.cfg = cfg
        self.store = ObservedStore(store)
        self.contact = StoreContact(self.store, PREFIX + cfg.name)
        self._decoder = decoder
        address, _, port = cfg.listen.peers.rpartition(":")
        self.peers = PeerService(
            cfg.peers,
            cfg.name,
            address,
            int(port),
            cfg.memory,
        )
        self._entry = HostEntry(cfg.data_centre, address, int(port), relays=False)
        self.announcer = Announcer(self.store, cfg.fleet, cfg.name, self._entry)
        self.contact.on_regained.append(self.announcer.renew_soon)
        folder = pathlib.Path(cfg.data_folder or "data")
        self.records = RecordService(
            cfg.records, folder / "records", self.store, self.peers
        )
        self.mark = JournalMark(
            self.store,
            cfg.records,
            cfg.name,
            self._entry,
            lambda: self.records.stored_all,
        )
        self.contact.on_regained.append(self.mark.renew_soon)
        self.escrow = EscrowService(
            cfg, folder / "escrow", self.store, self.peers, self._read_host_names
        )
        self.stream_origins = StreamOriginService(self.peers)
        self.mirror = PrefixMirror(
            self.store,
            decoder.retirement_prefix,
            cfg.follow._replace(watch_s=RETIREMENT_WATCH_S),
            self,
            following=_always_set(),
            short_watches=lambda: True,
        )
        self.memory = MemoryWatch(
            cfg.memory,
            [
                MemoryHolder("records", lambda: self.records.pending_bytes),
                MemoryHolder("peers", self.peers.held_bytes, self.peers.shed),
            ],
        )
        self._addresses: dict[str, PeerAddress] = {}
        self._relays: set[str] = set()
        self._contacted_at: dict[str, float] = {}
        self._relist = asyncio.Event()
        self.announcer.on_announced = self._relist.set
        self.peers.on(RelayHostAnnouncement, self._on_relay_host)
        self._retiring: asyncio.Task[None] | None = None

    async def on_start(self) -> None:
        """Starts the services, each after those that it depends on."""
        metrics = MetricsServer(self.cfg.listen.metrics, CallerLimits(self.cfg.memory))
        # ``records`` and ``escrow`` are first: they read their files before peers can
        # ask for anything.
        for part in (
            self.memory,
            self.records,
            self.escrow,
            self.peers,
            self.contact,
            self.mark,
            self.announcer,
            self.mirror,
            metrics,
        ):
            await self.add_runtime_dependency(part)
        logger.bind(host=self.cfg.name).info("host started")

    async def _read_host_names(self) -> set[str]:
        return set(unpack_hosts(await self.store.list(PREFIX)).hosts)

    @background_task
    async def _list_hosts(self) -> None:
        while not self.should_stop:
            # ``_relist`` is set once the own entry is written: of two hosts that start
            # together, the one that writes its entry later finds the other.
            await wait_for_event(self._relist, self.cfg.records.list_interval_s)
            self._relist.clear()
            try:
                hosts, _ = unpack_hosts(await self.store.list(PREFIX))
            except StoreError as exc:
                logger.bind(reason=str(exc)).info("cannot list hosts")
                self._relist.set()
                await asyncio.sleep(RETRY_S)
                continue
            except Exception:
                # Read when the task has been restarted.
                self._relist.set()
                raise
            self._set_addresses(
                {host: entry.peer(host) for host, entry in hosts.items()},
                {host for host, entry in hosts.items() if entry.relays},
            )

    async def _on_relay_host(
        self, sender: str, announcement: RelayHostAnnouncement
    ) -> None:
        self._contacted_at[announcement.host] = time.monotonic()
        peer = PeerAddress(*announcement)
        if self._addresses.get(announcement.host) != peer:
            self._set_addresses(
                {**self._addresses, announcement.host: peer},
                {*self._relays, announcement.host},
            )

    def _set_addresses(
        self, addresses: dict[str, PeerAddress], relays: set[str]
    ) -> None:
        self._addresses = addresses
        self._relays = relays
        self.records.set_host_count(len(addresses.keys() - relays))
        self.peers.set_addresses(list(addresses.values()))

    @background_task
    async def _announce_to_relays(self) -> None:
        while not self.should_stop:
            heartbeat = RecordHostHeartbeat(
                self.cfg.name,
                self.cfg.data_centre,
                self._entry.address,
                self._entry.port,
                self.records.ready,
            )
            # A turn is reported as unknown once every host on the store's list has no
            # record of it and no host that is marked there is down, so only hosts with
            # both may accept records.
            if self.announcer.announced and self.mark.announced:
                self.peers.send_all(
                    self._announcement_recipients(time.monotonic()), heartbeat
                )
            await asyncio.sleep(self.cfg.records.here_interval_s)

    def _announcement_recipients(self, now: float) -> list[str]:
        """Returns the relay hosts to which this host announces itself.

        In a large fleet these are the ones that have sent a message recently; they send
        the announcement on to the others.
        """
        recent = [
            h for h, at in self._contacted_at.items() if now - at < RELAY_CONTACT_S
        ]
        if len(self._relays) < MAX_DIRECT_HOSTS or not recent:
            return list(self._relays)
        return recent

    def on_snapshot(
        self, entries: dict[str, StoreEntry], revision: int, after_loss: bool
    ) -> None:
        """Starts a retirement if the store has a request for this host."""
        for key in entries:
            self._start_retirement(key)

    def on_batch(self, batch: WatchBatch) -> None:
        """Starts a retirement if one was requested for this host."""
        for entry in batch.changed:
            self._start_retirement(entry.key)

    def _start_retirement(self, key: str) -> None:
        retirement = self._decoder.read_retirement(key)
        if (
            retirement is None
            or retirement.host != self.cfg.name
            or self._retiring is not None
        ):
            return
        logger.bind(host=retirement.host).info("retirement begun")
        self._retiring = asyncio.create_task(
            run_restarting(
                "RecordApplication._retire", lambda: self._retire(retirement)
            )
        )

    async def _retire(self, retirement: Retirement) -> None:
        await self._write_status(retirement.status_key, retirement.in_progress_value)
        await self._flush_records()
        await self._write_status(retirement.status_key, retirement.completed_value)
        logger.bind(host=retirement.host).info("retirement completed")

    async def _flush_records(self) -> None:
        """Returns once the store holds all records."""
        while not await self.records.flush():
            await asyncio.sleep(RETRY_S)

    async def _write_status(self, key: str, value: bytes) -> None:
        while True:
            try:
                await self.store.put(key, value)
                return
            except StoreError as exc:
                logger.bind(key=key, reason=str(exc)).warning(
                    "cannot write retirement status, retrying"
                )
                await asyncio.sleep(RETRY_S)

    async def drain(self) -> None:
        """Writes records to the store that it does not hold yet."""
        logger.bind(host=self.cfg.name).info("host stops")
        try:
            async with asyncio.timeout(DRAIN_TIMEOUT_S):
                await self._flush_records()
        except TimeoutError:
            logger.bind(host=self.cfg.name, left=self.records.unstored_count).warning(
                "records not all written to the store, rest stays in the journal"
            )

    async def on_shutdown(self) -> None:
        """Closes the connections to the store after all services have stopped."""
        if self._retiring is not None:
            self._retiring.cancel()
        await self.store.close()
        logger.bind(host=self.cfg.name).info("host stopped")


def _always_set() -> asyncio.Event:
    event = asyncio.Event()
    event.set()
    return event
