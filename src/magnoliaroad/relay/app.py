"""The application of a relay host; builds, starts and stops its components."""

import asyncio
import time

from loguru import logger
from mode import Service

from magnoliaroad.background import background_task
from magnoliaroad.caller_load.limits import CallerLimits
from magnoliaroad.evacuation.service import EvacuationService
from magnoliaroad.event_wait import wait_for_event
from magnoliaroad.explain.endpoint import PATH as EXPLAIN_PATH
from magnoliaroad.explain.endpoint import ExplainEndpoint
from magnoliaroad.explain.explain import HostStatus
from magnoliaroad.hedging.policy import HedgePolicy
from magnoliaroad.memory import MemoryHolder, MemoryWatch
from magnoliaroad.peers import PeerService
from magnoliaroad.quarantine import QuarantineService
from magnoliaroad.quarantine.stored_list import PREFIX as QUARANTINE_PREFIX
from magnoliaroad.receive_buffers import ReceivePool
from magnoliaroad.records.client import RecordClient
from magnoliaroad.records.lru_cache import LruCache
from magnoliaroad.relay.announcer import Announcer
from magnoliaroad.relay.budget_ledger import BudgetLedger
from magnoliaroad.relay.budget_router import BudgetRouter
from magnoliaroad.relay.claim_router import ClaimRouter
from magnoliaroad.relay.claim_writer import ClaimWriter
from magnoliaroad.relay.detour_client import DetourClient
from magnoliaroad.relay.detour_service import DetourService
from magnoliaroad.relay.dialect import Dialect
from magnoliaroad.relay.direct_sender import DirectSender
from magnoliaroad.relay.entry_decoder import EntryDecoder
from magnoliaroad.relay.escrow_client import EscrowClient
from magnoliaroad.relay.fleet import FleetService
from magnoliaroad.relay.helper_choice import HelperChoice
from magnoliaroad.relay.host_entry import PREFIX, HostEntry
from magnoliaroad.relay.metrics_server import MetricsServer
from magnoliaroad.relay.mirror import (
    MirrorListener,
    MirrorListeners,
    PrefixMirror,
)
from magnoliaroad.relay.parts import RelayParts
from magnoliaroad.relay.path_prober import PathProber
from magnoliaroad.relay.placer import Placer
from magnoliaroad.relay.plan_holder import PlanHolder
from magnoliaroad.relay.program_targets import ProgramTargets
from magnoliaroad.relay.quarantine_mirror import QuarantineMirror
from magnoliaroad.relay.quota import TeamTokenBuckets
from magnoliaroad.relay.request_memory import RequestMemory
from magnoliaroad.relay.server import RelayServer
from magnoliaroad.relay.settings import RelaySettings
from magnoliaroad.relay.stream_origins import StreamOrigins
from magnoliaroad.relay.target import RelayTarget
from magnoliaroad.relay.target_follower import TargetFollower
from magnoliaroad.relay.target_limiter import TargetLimiter
from magnoliaroad.relay.target_paths import TargetPaths
from magnoliaroad.relay.target_sender import TargetSender
from magnoliaroad.relay.target_table import TargetTable
from magnoliaroad.relay.team_limiter import TeamLimiter
from magnoliaroad.relay.turn_ledger import TurnLedger
from magnoliaroad.slow_start import ColdRates
from magnoliaroad.store import Store
from magnoliaroad.store.contact import StoreContact
from magnoliaroad.store.leases import LeasePool
from magnoliaroad.store.observed import ObservedStore
from magnoliaroad.target_model.exchange import PaceExchange
from magnoliaroad.target_model.model import TargetModel
from magnoliaroad.targets import TargetClient
from magnoliaroad.targets.settings import TargetSettings
from magnoliaroad.waiting.admission import ProgramAdmission
from magnoliaroad.waiting.room import WaitingRoom

# Time between checks for targets whose entries did not return in time, in seconds.
SWEEP_INTERVAL_S = 0.1
# The same while no entry is missing; only marks of former targets expire then.
IDLE_SWEEP_INTERVAL_S = 5.0
# Time in contact with the store after which its list of hosts is complete, in seconds:
# a host whose entry has expired calls the store every 0.8 s and writes its entry again
# 0.3 s after an answer.
HOST_LIST_SETTLE_S = 2.5
# Most programs that are remembered as running on this host.
MAX_REMEMBERED_PROGRAMS = 10_000


class RelayApplication(Service):
    """Builds the components of a relay host, starts them in order and stops them.

    Args:
        cfg: Settings of the host.
        store: The platform's store.
        dialect: Reads and writes the platform's HTTP headers.
        decoder: Decodes the store's entries.
    """

    def __init__(
        self, cfg: RelaySettings, store: Store, dialect: Dialect, decoder: EntryDecoder
    ) -> None:
        super().__init__()
        self.cfg = cfg
        self.store = ObservedStore(store)
        self.contact = StoreContact(self.store, PREFIX + cfg.name)
        address, _, port = cfg.listen.peers.rpartition(":")
        self.peers = PeerService(
            cfg.peers,
            cfg.name,
            address,
            int(port),
            cfg.memory,
        )
        self.plans = PlanHolder(decoder)
        self.table = TargetTable()
        self.quota = TeamTokenBuckets(cfg.quota, time.monotonic(), self.plans.find_team)
        self.follower = TargetFollower(
            decoder,
            self.table,
            cfg.follow.lapse_grace_s,
            store_lost_at=lambda: self.contact.last_lost_at,
        )
        leases = LeasePool(self.store)
        self.records = RecordClient(
            cfg.records,
            cfg.data_centre,
            self.store,
            leases,
            self.peers,
            lambda: self.fleet.read_list(),
            lambda: self.fleet.store_proxies(),
            lambda: self.contact.up_s >= HOST_LIST_SETTLE_S,
            lambda: self.fleet.isolated,
        )
        self.quarantine = QuarantineService(
            cfg.quarantine,
            cfg.name,
            self.peers,
            self.store,
            lambda: self.fleet.crash_detectors(),
            lambda: self.fleet.hosts_in_contact(),
        )
        self.fleet = FleetService(
            cfg,
            self.store,
            self.peers,
            self.plans,
            self.quota,
            self.follower,
            self.table,
            self.records,
            self.contact,
            self.quarantine,
        )
        entry = HostEntry(cfg.data_centre, address, int(port), relays=True)
        self.announcer = Announcer(self.store, cfg.fleet, cfg.name, entry)
        self.plans.on_newer_plan = self.fleet.send_heartbeat_soon
        self.quarantine.on_new_decisions = self.fleet.send_heartbeat_soon
        self.follower.on_target_lost = self._report_target_lost
        self.announcer.on_announced = self.fleet.relist
        self.contact.on_regained.append(self.announcer.renew_soon)
        self.claims = ClaimWriter(self.store, leases, cfg.turns)
        ledger = BudgetLedger(
            ClaimRouter(cfg.name, self.claims, self.peers, self.fleet.claim_writers),
            EscrowClient(
                cfg, self.records, self.peers, self.fleet.data_centres_in_contact
            ),
            cfg.turns,
            self.fleet.holder,
            self.fleet.ask_budget,
            self.fleet.holders,
            self.fleet.store_lost,
        )
        self.budgets = BudgetRouter(
            cfg.name, ledger, self.peers, self.fleet.budget_hosts
        )
        timing = cfg.targets
        self.client = TargetClient(
            TargetSettings(
                connect_timeout_s=timing.connect_timeout_s, idle_s=timing.idle_s
            ),
            ReceivePool(cfg.memory.receive_bytes),
        )
        self.prober = PathProber(self.table, TargetPaths(), self.client)
        direct = DirectSender(self.client, self.prober)
        requests = RequestMemory(cfg.memory.request_bytes)
        program_targets = ProgramTargets(cfg.name, self.peers, self.fleet.budget_hosts)
        self.target_limiter = TargetLimiter(
            cfg.name,
            self.peers,
            self.table,
            self.fleet.count_hosts,
            self.fleet.host_count,
            self.quota.contact_fraction,
            ColdRates(cfg.slow_start, self.table.cold, self.plans.find_service),
        )
        self.target_model = TargetModel(
            cfg.placement, self.table, self.plans.find_service
        )
        self.pace_exchange = PaceExchange(
            self.target_model, self.peers, self.fleet.near_hosts_in_contact
        )
        parts = RelayParts(
            cfg=cfg,
            dialect=dialect,
            plans=self.plans,
            memory=requests,
            limiter=TeamLimiter(
                cfg.name, self.peers, self.plans, self.quota, self.fleet.count_hosts
            ),
            table=self.table,
            sender=TargetSender(
                direct,
                DetourClient(
                    self.peers,
                    HelperChoice(self.fleet.helpers),
                    self.client.cfg.silence_timeout_s,
                ),
                self.prober.paths,
            ),
            turns=TurnLedger(self.records, cfg.turns),
            budgets=self.budgets,
            quarantine=self.quarantine,
            target_limiter=self.target_limiter,
            target_model=self.target_model,
            waiting=WaitingRoom(cfg.waiting, self.target_model.loads.states_slowdown),
            placer=Placer(
                cfg,
                self.table,
                self.target_limiter,
                self.target_model,
                program_targets,
                self.fleet.host_count,
            ),
            program_admission=ProgramAdmission(),
            hedging=HedgePolicy(cfg.hedging, self.fleet.host_count),
            program_targets=program_targets,
            stream_origins=StreamOrigins(
                self.peers, lambda: self.records.hosts, self.records.live_hosts
            ),
            programs=LruCache(MAX_REMEMBERED_PROGRAMS, lambda _: 1),
            targets_current=self.fleet.targets_current,
            notify_peers=self.fleet.send_heartbeat_soon,
            diverted_in_s=self.fleet.diverted_in_s,
        )
        self._caller_limits = CallerLimits(cfg.memory)
        self.server = RelayServer(parts, self._ready, self._caller_limits)
        self._explain = ExplainEndpoint(parts, self._status)
        self.memory = MemoryWatch(
            cfg.memory,
            [
                MemoryHolder("requests", lambda: requests.held_bytes),
                MemoryHolder("callers", self.server.held_bytes, self.server.shed),
                MemoryHolder("turns", lambda: parts.turns.cached_bytes),
                MemoryHolder("peers", self.peers.held_bytes, self.peers.shed),
            ],
        )
        self.detours = DetourService(
            self.peers,
            dialect,
            self.table,
            self.prober.paths,
            direct,
            self.server.in_flight,
            requests,
            self.fleet.helps_peers,
            self.fleet.is_lost,
        )
        self.evacuation = EvacuationService(
            decoder,
            self.table,
            self.peers,
            self.fleet.hosts_in_contact,
            self.fleet.near_hosts_in_contact,
            cfg.data_centres,
        )
        operator_entries = MirrorListeners(self.plans, self.evacuation)
        self._mirrors = (
            self._mirror(decoder.operator_prefix, operator_entries),
            self._mirror(decoder.target_prefix, self.follower),
            self._mirror(QUARANTINE_PREFIX, QuarantineMirror(self.quarantine)),
        )

    async def on_start(self) -> None:
        """Starts the components; those that others depend on come first."""
        for part in (
            self.memory,
            self.peers,
            self.contact,
            self.client,
            self.prober,
            self.detours,
            *self._mirrors,
            self.evacuation,
            self.announcer,
            self.fleet,
            self.pace_exchange,
            self.quarantine,
            self.claims,
            MetricsServer(
                self.cfg.listen.metrics,
                self._caller_limits,
                {EXPLAIN_PATH: self._explain},
            ),
            self.server,
        ):
            await self.add_runtime_dependency(part)
        logger.bind(host=self.cfg.name, boot=self.fleet.boot).info("host started")

    @background_task
    async def _sweep(self) -> None:
        while not self.should_stop:
            self.follower.sweep()
            self.table.leaving.sweep(time.monotonic(), self.table.targets)
            self.target_limiter.sweep(time.monotonic())
            self.target_model.sweep(time.monotonic(), self.table.targets)
            if self.follower.grace_pending.is_set():
                await asyncio.sleep(SWEEP_INTERVAL_S)
            else:
                await wait_for_event(self.follower.grace_pending, IDLE_SWEEP_INTERVAL_S)

    async def drain(self) -> None:
        """Stops accepting requests and ends those in flight."""
        logger.bind(host=self.cfg.name, in_flight=self.server.in_flight.count).info(
            "host stops"
        )
        self.fleet.draining = True
        await self.server.drain()

    async def on_shutdown(self) -> None:
        """Closes the store's connections after all components have stopped."""
        await self.store.close()
        logger.bind(host=self.cfg.name).info("host stopped")

    def _report_target_lost(self, target: RelayTarget) -> None:
        self.quarantine.target_disappeared(target.name, target.started_ms)

    def _mirror(self, prefix: str, listener: MirrorListener) -> PrefixMirror:
        fleet, cfg = self.fleet, self.cfg.follow
        return PrefixMirror(
            self.store,
            prefix,
            cfg,
            listener,
            fleet.following,
            fleet.uses_short_watches,
        )

    def _status(self) -> HostStatus:
        return HostStatus(
            ready=not self.server.draining and self._ready(),
            draining=self.server.draining,
            store_lost=self.contact.lost,
            targets_listed_at=self.follower.listed_at,
            peers_heard_at=self.fleet.heard_at(),
        )

    def _ready(self) -> bool:
        known = self.plans.plan is not None and self.follower.listed
        known = known and self.records.hosts_listed
        return known and not self.fleet.diverts_callers()
