"""The application that runs on a host and owns its services."""

import pathlib
import uuid

from loguru import logger
from mode import Service

from magnoliaroad.caller_load.limits import CallerLimits
from magnoliaroad.config import ConfigService, HostLocation
from magnoliaroad.drain_limit import DrainLimit
from magnoliaroad.entry import EntryServer, EntryServices
from magnoliaroad.groups import GroupService
from magnoliaroad.keys import KeyService
from magnoliaroad.limits import LimitService
from magnoliaroad.membership import HostRecord, MembershipService
from magnoliaroad.memory import MemoryHolder, MemoryWatch
from magnoliaroad.once import OnceService
from magnoliaroad.peers import PeerService
from magnoliaroad.programs import ProgramService
from magnoliaroad.quarantine import BlocklistWatcher, QuarantineService
from magnoliaroad.receive_buffers import ReceivePool
from magnoliaroad.relay.request_memory import RequestMemory
from magnoliaroad.routing import PlacementService
from magnoliaroad.settings import HostSettings
from magnoliaroad.store import Store
from magnoliaroad.store.client import HttpStore
from magnoliaroad.targets import TargetClient

# The owner of this key's group detects requests that crash targets.
DETECTOR_KEY = "quarantine"


class HostApplication(Service):
    """Creates the services of a host, starts them in order and stops them.

    Args:
        cfg: Settings of the host.
        store: Store to use instead of the one in ``cfg``.
    """

    def __init__(self, cfg: HostSettings, store: Store | None = None) -> None:
        super().__init__()
        self.cfg = cfg
        self.store = store or HttpStore(cfg.store)
        listen = cfg.listen
        self.peers = PeerService(
            cfg.peers,
            cfg.name,
            listen.address,
            listen.peer_port,
            cfg.memory,
        )
        self.config = ConfigService(
            self.store,
            self.peers,
            cfg.config,
            HostLocation(cfg.data_centre, cfg.name),
            self._data_folder("config"),
            defer_activation=True,
        )
        self.keys = KeyService(
            self.config, self.store, cfg.keys, self._data_folder("keys")
        )
        self.membership = MembershipService(
            cfg.membership,
            self._host_record(),
            self.store,
            self.peers,
            seeds=cfg.peers.seeds,
        )
        self.groups = GroupService(
            cfg.groups,
            self.membership,
            self.store,
            self.peers,
            folder=self._data_folder("groups"),
        )
        self.limits = LimitService(
            cfg.limits, self.config, self.membership, self.store, self.peers
        )
        self.targets = TargetClient(cfg.targets, ReceivePool(cfg.memory.receive_bytes))
        self.programs = ProgramService(
            cfg.programs,
            cfg.name,
            cfg.data_centre,
            self.config,
            self.groups,
            self.peers,
            self.targets,
        )
        self.once = OnceService(cfg.once, cfg.name, self.groups, self.peers)
        self.quarantine = QuarantineService(
            cfg.quarantine,
            cfg.name,
            self.peers,
            self.store,
            self._detector_hosts,
            lambda: [peer.host for peer in self.peers.addresses()],
        )
        self.quarantine_list = BlocklistWatcher(
            self.store, cfg.quarantine.watch_s, self.quarantine.merge_decisions
        )
        self.placement = PlacementService(
            cfg.routing,
            cfg.data_centre,
            self.config,
            self.peers,
            lambda: self.membership.leaving_targets,
        )
        self._requests = RequestMemory(cfg.memory.request_bytes)
        self.entry = EntryServer(
            listen, cfg.entry, self._entry_services(), CallerLimits(cfg.memory)
        )
        self.memory = MemoryWatch(
            cfg.memory,
            [
                MemoryHolder("requests", lambda: self._requests.held_bytes),
                MemoryHolder("callers", self.entry.held_bytes, self.entry.shed),
                MemoryHolder("peers", self.peers.held_bytes, self.peers.shed),
            ],
        )

    async def on_start(self) -> None:
        """Starts the services in the order of their dependencies."""
        await self.add_runtime_dependency(self.memory)
        await self.add_runtime_dependency(self.peers)
        self.membership.record = self.membership.record._replace(
            peer_port=self.peers.port
        )
        for service in (
            self.membership,
            self.config,
            self.keys,
            self.targets,
            self.groups,
            self.limits,
            self.programs,
            self.once,
            self.quarantine,
            self.quarantine_list,
            self.placement,
            self.entry,
        ):
            await self.add_runtime_dependency(service)
        await self.membership.announce(
            self.membership.record._replace(http_port=self.entry.port)
        )
        await self.groups.wait_for_copies(self.cfg.groups.join_limit_s)
        await self.keys.confirm()
        await self.config.confirm()
        logger.bind(host=self.cfg.name, port=self.entry.port).info("host started")

    async def drain(self) -> None:
        """Announces the shutdown to callers and peers; completes in-flight requests."""
        self.entry.draining = True
        await self.membership.drain()
        await self.entry.drain()
        await self.groups.wait_for_handover(self.cfg.groups.leave_limit_s)

    async def on_shutdown(self) -> None:
        """Closes the store's connections after all services have stopped."""
        await self.store.close()

    def _detector_hosts(self) -> list[str]:
        """Returns the name of the host that detects requests that crash targets.

        The list is empty while the group has no owner.
        """
        owner = self.groups.owner_of(self.groups.group_of(DETECTOR_KEY))
        return [] if owner is None else [owner.host]

    def _data_folder(self, name: str) -> pathlib.Path | None:
        folder = self.cfg.data_folder
        return None if folder is None else pathlib.Path(folder) / name

    def _entry_services(self) -> EntryServices:
        return EntryServices(
            config=self.config,
            keys=self.keys,
            limits=self.limits,
            programs=self.programs,
            once=self.once,
            quarantine=self.quarantine,
            placement=self.placement,
            targets=self.targets,
            drain=DrainLimit(),
            memory=self._requests,
        )

    def _host_record(self) -> HostRecord:
        cfg = self.cfg
        return HostRecord(
            host=cfg.name,
            data_centre=cfg.data_centre,
            address=cfg.listen.address,
            http_port=cfg.listen.http_port,
            peer_port=cfg.listen.peer_port,
            incarnation=uuid.uuid4().hex,
        )
