"""Membership of the relay fleet, and the heartbeats between its hosts."""

import asyncio
import math
import random
import time
import uuid

from loguru import logger
from mode import Service

from magnoliaroad.background import background_task
from magnoliaroad.event_wait import wait_for_event
from magnoliaroad.peers import PeerAddress, PeerError, PeerService
from magnoliaroad.program_homes import HomeHistory
from magnoliaroad.quarantine import QuarantineService
from magnoliaroad.records.client import RecordClient
from magnoliaroad.records.messages import RecordHostHeartbeat, RelayHostAnnouncement
from magnoliaroad.relay.digest import FULL_EVERY, Digest
from magnoliaroad.relay.fleet_messages import (
    BudgetLoanReply,
    BudgetLoanRequest,
    Heartbeat,
)
from magnoliaroad.relay.heartbeat_router import HeartbeatRouter
from magnoliaroad.relay.heartbeat_tracker import HeartbeatTracker
from magnoliaroad.relay.helper_choice import Helper
from magnoliaroad.relay.host_entry import PREFIX, unpack_hosts
from magnoliaroad.relay.metrics import TIMER_LAG
from magnoliaroad.relay.plan_holder import PlanHolder
from magnoliaroad.relay.quota import TeamTokenBuckets
from magnoliaroad.relay.settings import RelaySettings
from magnoliaroad.relay.slowness_detector import SlownessDetector
from magnoliaroad.relay.state_sync import ANSWER_TIMEOUT_S, StateSync
from magnoliaroad.relay.target_follower import TargetFollower
from magnoliaroad.relay.target_table import TargetTable
from magnoliaroad.rendezvous import rendezvous
from magnoliaroad.store import Store, StoreError
from magnoliaroad.store.contact import StoreContact

# Age of an incarnation below which all its counts belong to the current rate window, in
# seconds.
NEW_INCARNATION_S = 5.0
# Most hosts that are asked, one after the other, to do a store call for this one.
MAX_STORE_PROXIES = 2
# Time between checks of contact with the store and other data centres, in seconds.
CONTACT_CHECK_S = 0.2
# Most hosts that are asked to lend tokens which they may themselves have borrowed.
MAX_LENDERS = 16
# Time after its start in which a host receives the heartbeats of others, in seconds:
# they first read its entry, and their heartbeats arrive a few intervals later.
DISCOVERY_S = 1.0
# Hosts for each one that writes budget claims to the store; 100 hosts start some 400
# programs a second at the largest load in the design.
HOSTS_PER_CLAIM_WRITER = 100
# Fraction of the hosts of a large data centre that count teams' requests and budgets
# for the others, and the least number of them.
COUNTER_FRACTION = 1 / 8
MIN_COUNTERS = 3
# Part of the hosts of a data centre that must reach the store for them to count for
# those that don't. The store may turn a third of the hosts away and serve the others.
MIN_REACHING_PART = 0.5
# Hosts to which crashes of targets are reported; more than one, so that the loss of a
# host loses no evidence.
CRASH_DETECTORS = 2
# Longest wait after the list of hosts could not be read, in seconds.
LIST_RETRY_S = 1.0
# Longest wait for the host's own entry before the list is read, in seconds. Of two
# hosts that start together, the one that writes its entry later then finds the other.
ANNOUNCE_WAIT_S = 2.0
# Time between measurements of timer lag, in seconds.
LAG_SAMPLE_S = 0.1
# Largest fraction of a data centre's hosts that turn callers away for being slow.
MAX_DIVERTING_FRACTION = 0.34
# Time between a forwarder's messages to record hosts, in seconds.
RECORD_HOST_CONTACT_S = 1.0
# Time after which the balancer sends no new connections to a host that is not ready, in
# seconds: two readiness checks, one second apart.
BALANCER_S = 2.0
# Key under which a host that does not forward keeps the in-flight requests of all other
# hosts.
OTHER_HOSTS = "fleet"


class FleetService(Service):
    """Discovers other hosts and exchanges heartbeats with them.

    The store holds an entry of each host. Hosts that have found each other keep
    exchanging heartbeats while the store is out of reach.

    Args:
        cfg: Settings of the host.
        store: The store.
        peers: Connections between hosts.
        plans: Configuration in force.
        quota: Receives the numbers of requests that peers have admitted.
        follower: The known targets and the store revision of their newest change.
        targets: Receives peers' in-flight requests and target cooldowns.
        records: Receives the record hosts and their messages.
        contact: Whether the store can be reached.
        quarantine: Decisions on requests that crash targets.

    Attributes:
        boot: Identifier of this incarnation of the host.
        draining: Whether the host is stopping.
        isolated: Whether neither the store nor another data centre can be reached.
        following: Set while this host is to watch the store.
    """

    def __init__(
        self,
        cfg: RelaySettings,
        store: Store,
        peers: PeerService,
        plans: PlanHolder,
        quota: TeamTokenBuckets,
        follower: TargetFollower,
        targets: TargetTable,
        records: RecordClient,
        contact: StoreContact,
        quarantine: QuarantineService,
    ) -> None:
        super().__init__()
        self.cfg = cfg
        self.boot = uuid.uuid4().hex[:12]
        self.draining = False
        self.isolated = False
        self._isolated_at = -math.inf
        self.following = asyncio.Event()
        self._contact = contact
        self._quarantine = quarantine
        self._slowness = SlownessDetector()
        self._send_now = asyncio.Event()
        self._heartbeat_sent_at = math.inf
        self._relist = asyncio.Event()
        self._store = store
        self._peers = peers
        self._plans = plans
        self._quota = quota
        self._targets = targets
        self._follower = follower
        self._records = records
        self._began = time.monotonic()
        self._tracker = HeartbeatTracker(cfg, self._began)
        self._router = HeartbeatRouter(cfg, self._tracker)
        self._sent_in_flight: dict[str, int] = {}
        self._record_hosts_contacted_at = 0.0
        self._fit_hosts: tuple[object, dict[str, str]] = (None, {})
        self._counters: list[str] = []
        self._home_history = HomeHistory()
        self._counters_state: object = None
        self._listed = False
        self._state_sync = StateSync(
            store,
            peers,
            plans,
            follower,
            contact,
            quarantine,
            self._tracker.count_near_hosts,
        )
        peers.on(Heartbeat, self._on_heartbeat)
        peers.on(Digest, self._on_digest)
        peers.on(RecordHostHeartbeat, self._on_record_host)

    async def on_start(self) -> None:
        """Counts the silence of this host from its start on."""
        self._heartbeat_sent_at = time.monotonic()

    async def on_stop(self) -> None:
        """Cancels requests to peers."""
        self._state_sync.stop()

    @property
    def holder(self) -> str:
        """Name under which this incarnation claims budgets."""
        return f"{self.cfg.name}#{self.boot}"

    def store_lost(self) -> bool:
        """Whether calls on the store are known to fail now."""
        return self._contact.lost

    def send_heartbeat_soon(self) -> None:
        """Sends the next heartbeat at once, as this host's state has changed."""
        self._send_now.set()

    def relist(self) -> None:
        """Requests that the list of hosts is read soon."""
        self._relist.set()

    def budget_hosts(self) -> list[str]:
        """Returns the hosts that count programs' budgets, or this one if none can.

        Each turn asks one of them, so slow hosts are left out. Callers use their own
        data centre, so a program's budget is counted there: no turn waits for another
        data centre, and a network partition separates no program from its claims.
        """
        able = self._find_fit_hosts()
        near = [host for host in able if able[host] == self.cfg.data_centre]
        if self._most_lost_store(len(near)):
            near = self._find_near_hosts()
        near = near or list(able) or self._find_near_hosts() or [self.cfg.name]
        hosts = self._pick_counters(near) if self._tracker.uses_forwarders else near
        self._home_history.record(hosts, time.monotonic())
        return hosts

    def _most_lost_store(self, reaching: int) -> bool:
        """Whether most hosts of this data centre have lost the store, but not all.

        Hosts notice the loss one after the other. If those that have not noticed it yet
        counted for all, nearly every program would change its home host twice.

        Args:
            reaching: Hosts of the data centre that reach the store and are not slow.
        """
        return 0 < reaching < MIN_REACHING_PART * len(self._find_near_hosts())

    def _find_near_hosts(self) -> list[str]:
        """Returns the hosts of this data centre in contact that are not slow."""
        near = [
            host
            for host, heartbeat in self._tracker.in_contact().items()
            if self._tracker.is_near(heartbeat) and not heartbeat.slow
        ]
        return near if self.draining else [*near, self.cfg.name]

    def _pick_counters(self, hosts: list[str]) -> list[str]:
        """Returns the hosts of a large data centre that count for the others.

        For the load pattern of many hosts with few requests each: if all peers counted,
        nearly every message to a counter would need a new connection.
        """
        most = max(MIN_COUNTERS, math.ceil(len(hosts) * COUNTER_FRACTION))
        return rendezvous("counters", hosts)[:most]

    def claim_writers(self) -> list[str]:
        """Returns the hosts that write budget claims to the store for others."""
        able = sorted(self._find_fit_hosts())
        return able[: 1 + len(able) // HOSTS_PER_CLAIM_WRITER]

    def _find_fit_hosts(self) -> dict[str, str]:
        """Returns hosts that reach the store and are not slow, with data centres."""
        able = not (self.draining or self.store_lost() or self._is_unfit)
        state = (self._tracker.version, able)
        if self._fit_hosts[0] != state:
            fit = {
                host: heartbeat.data_centre
                for host, heartbeat in self._tracker.reaching_store().items()
                if not heartbeat.slow
            }
            if able:
                fit[self.cfg.name] = self.cfg.data_centre
            self._fit_hosts = (state, fit)
        return self._fit_hosts[1]

    def host_count(self) -> int:
        """Returns the number of known relay hosts, this one included."""
        return len(self._tracker.members) + 1

    def count_hosts(self) -> list[str]:
        """Returns the hosts that count teams' requests, the same on all hosts.

        Listed hosts count for ``FIRST_HEARTBEAT_WAIT_S`` before their first heartbeat:
        after a restart of many hosts at once, each would otherwise count for itself.
        The list is the same object as long as nothing has changed.
        """
        now = time.monotonic()
        state = (self._tracker.version, self.draining, int(now))
        if self._counters_state != state:
            self._counters_state = state
            counters = self._choose_counters(now)
            if counters != self._counters:
                self._counters = counters
        return self._counters

    def _choose_counters(self, now: float) -> list[str]:
        contacts = self._tracker.in_contact()
        data_centres: dict[str, list[str]] = {}
        for data_centre, hosts in self._tracker.candidates(now).items():
            slow = {host for host in hosts if host in contacts and contacts[host].slow}
            data_centres[data_centre] = [host for host in hosts if host not in slow]
        if not self.draining:
            data_centres.setdefault(self.cfg.data_centre, []).append(self.cfg.name)
        if self._tracker.uses_forwarders:
            data_centres = {
                data_centre: self._pick_counters(fit)
                for data_centre, fit in data_centres.items()
            }
        return sorted(host for fit in data_centres.values() for host in fit)

    def crash_detectors(self) -> list[str]:
        """Returns the hosts that get reports of target crashes, this one included.

        Each host also evaluates its own reports, because a message to another host may
        be lost on a dead connection.
        """
        names = [*self._tracker.in_contact(), self.cfg.name]
        first = rendezvous("crashes", names)[:CRASH_DETECTORS]
        return [*(host for host in first if host != self.cfg.name), self.cfg.name]

    def hosts_in_contact(self) -> list[str]:
        """Returns the other relay hosts in contact."""
        return list(self._tracker.in_contact())

    def helpers(self) -> list[Helper]:
        """Returns the peers that may send requests to targets for this host."""
        return [
            Helper(
                host,
                self._tracker.is_near(heartbeat),
                sum(heartbeat.in_flight.values()),
                heartbeat.data_centre,
            )
            for host, heartbeat in self._tracker.in_contact().items()
            if not heartbeat.slow
        ]

    def near_hosts_in_contact(self) -> list[str]:
        """Returns the other relay hosts of this data centre in contact."""
        return [
            host
            for host, heartbeat in self._tracker.in_contact().items()
            if self._tracker.is_near(heartbeat)
        ]

    def is_lost(self, host: str) -> bool:
        """Whether a peer has been out of contact for too long to wait for it."""
        return self._tracker.is_lost(time.monotonic(), host)

    def targets_current(self) -> bool:
        """Whether this host can have missed no change of targets that a peer has.

        After a pause, or cut off from all others, it may take a target for an earlier
        start of it.
        """
        tracker, now = self._tracker, time.monotonic()
        if not tracker.members:
            return not self.store_lost()
        newest = tracker.newest_targets_revision(now)
        if newest is None:
            return now - self._follower.listed_at < tracker.near_silent_s
        return newest <= self._follower.revision

    def heard_at(self) -> list[float]:
        """Returns when the last heartbeat of each peer in contact came, in seconds."""
        return self._tracker.heard_at()

    def helps_peers(self) -> bool:
        """Whether this host sends requests to targets for peers."""
        return not (self.draining or self._slowness.slow)

    def data_centres_in_contact(self) -> set[str]:
        """Returns the data centres with a relay host in contact, and this host's."""
        heartbeats = self._tracker.in_contact().values()
        return {self.cfg.data_centre, *(h.data_centre for h in heartbeats)}

    def holders(self, program: str) -> list[str]:
        """Returns the names under which hosts in contact claim budgets.

        Former home hosts of the program come first.
        """
        contacts = self._tracker.in_contact()
        former = self._home_history.former_homes(program, time.monotonic())
        hosts = dict.fromkeys([*(h for h in former if h in contacts), *contacts])
        return [f"{host}#{contacts[host].boot}" for host in hosts][:MAX_LENDERS]

    def follows_store(self) -> bool:
        """Whether this host is the one that watches the store for its data centre.

        A host that has just started first waits for the heartbeats of others. For the
        load pattern of a whole fleet that starts: every host would otherwise watch the
        store while targets register, with a call for each change.
        """
        young = time.monotonic() - self._began < DISCOVERY_S
        if self.store_lost() or (young and (self._tracker.members or not self._listed)):
            return False
        reaching = self._tracker.reaching_store().items()
        near = [
            host for host, heartbeat in reaching if self._tracker.is_near(heartbeat)
        ]
        return self.cfg.name == min([*near, self.cfg.name])

    def _update_following(self) -> None:
        if self.follows_store():
            self.following.set()
        else:
            self.following.clear()

    def uses_short_watches(self) -> bool:
        """Whether this host keeps its watches short.

        It notices for all others when a watch has stopped delivering changes.
        """
        return self.cfg.name == min([*self._tracker.reaching_store(), self.cfg.name])

    @property
    def _is_unfit(self) -> bool:
        """Whether this host is slow, or taken for lost as it sends no heartbeats.

        The time includes the silence after which peers with the same fault count as
        lost here: hosts that have it at the same moment all go on serving.
        """
        silent_s = time.monotonic() - self._heartbeat_sent_at
        return self._slowness.slow or silent_s > 2 * self._tracker.near_silent_s

    def diverts_callers(self) -> bool:
        """Whether other hosts serve callers better than this one.

        This is so in three cases: this host is slow or sends no heartbeats; it reaches
        neither the store nor a record host, while another host of its data centre
        reaches the store; or the data centre as a whole is isolated, in which case the
        balancer sends its callers to another one.
        """
        if self._diverts_as_unfit():
            return True
        if not self.store_lost() or self._records.has_live_host:
            return self.isolated
        near = any(map(self._tracker.is_near, self._tracker.reaching_store().values()))
        return near or self.isolated

    def diverted_in_s(self) -> float:
        """Returns in how many seconds callers of an isolated host are diverted."""
        return max(0.0, self._isolated_at + BALANCER_S - time.monotonic())

    def _diverts_as_unfit(self) -> bool:
        """Whether this host is unfit and enough others of its data centre are not.

        If many hosts are unfit, sending callers to other hosts does not help them.
        """
        if not self._is_unfit:
            return False
        near = {
            host: heartbeat.slow
            for host, heartbeat in self._tracker.in_contact().items()
            if self._tracker.is_near(heartbeat)
        }
        before = sum(slow for host, slow in near.items() if host < self.cfg.name)
        return before < MAX_DIVERTING_FRACTION * (len(near) + 1) - 1

    @background_task
    async def _sample_timer_lag(self) -> None:
        while not self.should_stop:
            due = time.monotonic() + LAG_SAMPLE_S
            await asyncio.sleep(LAG_SAMPLE_S)
            lag_s = max(0.0, time.monotonic() - due)
            TIMER_LAG.observe({}, lag_s)
            if self._slowness.add_sample(lag_s):
                logger.bind(slow=self._slowness.slow, lag_s=round(lag_s, 3)).warning(
                    "pace changed"
                )
                self.send_heartbeat_soon()

    def store_proxies(self) -> list[str]:
        """Returns relay hosts to make calls on the store for this one.

        Empty while this host reaches the store itself. Hosts of its own data centre
        come first.
        """
        if not self.store_lost():
            return []
        able = [
            (not self._tracker.is_near(heartbeat), host)
            for host, heartbeat in self._tracker.reaching_store().items()
        ]
        return [host for _, host in sorted(able)[:MAX_STORE_PROXIES]]

    @background_task
    async def _watch_contact(self) -> None:
        """Checks the store when other data centres or all record hosts are silent.

        Watches of the store detect a network partition only after seconds.
        """
        while not self.should_stop:
            await asyncio.sleep(CONTACT_CHECK_S)
            is_alone = self._tracker.is_alone(time.monotonic())
            if is_alone or (self._records.hosts and not self._records.has_live_host):
                self._contact.request_probe()
            isolated = is_alone and self.store_lost()
            if isolated != self.isolated:
                logger.bind(isolated=isolated).warning("contact changed")
                self._isolated_at = time.monotonic()
            self.isolated = isolated

    async def ask_budget(self, holder: str, program: str) -> BudgetLoanReply | None:
        """Asks the incarnation ``holder`` to lend unused tokens of a program.

        If its host has restarted, the reply comes from the later incarnation, which has
        none of the tokens of ``holder``.

        Returns:
            The reply; no tokens if ``holder`` has ended or is lost, as its claim then
            counts as spent; ``None`` if it may lend some later.
        """
        host, _, boot = holder.partition("#")
        if self._has_ended(host, boot):
            return BudgetLoanReply(0)
        try:
            return await self._peers.call_with_deadline(
                host, BudgetLoanRequest(program), ANSWER_TIMEOUT_S
            )
        except PeerError as exc:
            logger.bind(host=host, program=program, reason=str(exc)).info(
                "peer did not lend budget"
            )
            return None

    def _has_ended(self, host: str, boot: str) -> bool:
        """Whether an incarnation of a host has ended or counts as lost.

        No host counts as lost while this one does not reach the store, as this one may
        then be the one that is cut off.
        """
        if host == self.cfg.name:
            return boot != self.boot
        now = time.monotonic()
        if self._tracker.is_superseded(now, host, boot):
            return True
        return not self.store_lost() and self._tracker.is_lost(now, host)

    @background_task
    async def _refresh_members(self) -> None:
        await self._wait_for_relist(ANNOUNCE_WAIT_S)
        while not self.should_stop:
            try:
                await self.read_list()
            except StoreError as exc:
                logger.bind(reason=str(exc)).info("cannot list hosts")
                await asyncio.sleep(LIST_RETRY_S * random.uniform(0.7, 1.0))
                continue
            while True:
                interval_s = self.cfg.fleet.list_interval_s * random.uniform(0.7, 1.0)
                if await self._wait_for_relist(interval_s) or self._tracker.silent:
                    break

    async def _wait_for_relist(self, limit_s: float) -> bool:
        """Waits for a request to read the list; returns whether one came in time."""
        requested = await wait_for_event(self._relist, limit_s)
        if requested:
            self._relist.clear()
        return requested

    async def read_list(self) -> None:
        """Reads the store's list of hosts.

        Raises:
            StoreError: The store did not answer.
        """
        hosts, marked = unpack_hosts(await self._store.list(PREFIX))
        listed: dict[str, PeerAddress] = {}
        record_hosts: dict[str, PeerAddress] = {}
        for host, known in hosts.items():
            if not known.relays:
                record_hosts[host] = known.peer(host)
            elif host != self.cfg.name:
                listed[host] = known.peer(host)
        self._listed = True
        self._records.set_hosts(record_hosts, marked)
        members = self._tracker.merge_members(time.monotonic(), listed)
        for host in self._tracker.members.keys() - members.keys():
            logger.bind(host=host).info("host gone")
            self._tracker.forget(host)
            self._quota.remove_peer(host)
        self._set_members(members)

    def _announce_to_record_hosts(self, now: float) -> None:
        """Announces this host to record hosts, which answer with their state.

        In a small fleet each host announces itself to record hosts out of contact. In a
        large one the forwarders do so to all record hosts and send the answers on in
        their digests.
        """
        hosts = self._records.silent_hosts()
        if self._tracker.uses_forwarders:
            due = now - self._record_hosts_contacted_at >= RECORD_HOST_CONTACT_S
            if not due or not (
                self._router.forwards or not self._records.has_live_host
            ):
                return
            self._record_hosts_contacted_at = now
            hosts = list(self._records.hosts)
        announcement = RelayHostAnnouncement(
            self.cfg.name, self.cfg.data_centre, self._peers.address, self._peers.port
        )
        self._peers.send_all(hosts, announcement)

    def _on_record_host(self, sender: str, heartbeat: RecordHostHeartbeat) -> None:
        self._receive_record_host(heartbeat, 0.0)

    def _receive_record_host(
        self, heartbeat: RecordHostHeartbeat, age_s: float
    ) -> None:
        if self._records.process_heartbeat(heartbeat, age_s):
            logger.bind(host=heartbeat.host).info("record host known")
            self._set_members(self._tracker.members)

    def _set_members(self, members: dict[str, PeerAddress]) -> None:
        for host in members.keys() - self._tracker.members.keys():
            logger.bind(host=host).info("host known")
        self._tracker.set_members(time.monotonic(), members)
        self._peers.set_addresses([*members.values(), *self._records.hosts.values()])
        if not self._tracker.uses_forwarders:
            self._targets.retain_hosts(members)

    @background_task
    async def _send_heartbeats(self) -> None:
        sent, far_at = 0, 0.0
        while not self.should_stop:
            now = time.monotonic()
            requested = self._send_now.is_set()
            self._send_now.clear()
            far = requested or now >= far_at
            if far:
                # Jitter: hosts that started together would otherwise pause together,
                # which looks like a silent data centre.
                far_at = now + self._tracker.far_interval_s * random.uniform(0.5, 1.5)
                sent += 1
            try:
                heartbeat = self._own_heartbeat(
                    has_all_teams=far and sent % FULL_EVERY == 1
                )
                self._send_heartbeat(now, heartbeat, far)
                self._heartbeat_sent_at = now
            finally:
                # A host that peers do not hear must know which of them it hears.
                self._update_silent()
                self._update_following()
            self._state_sync.retry(self._tracker)
            self._announce_to_record_hosts(now)
            await wait_for_event(self._send_now, self._tracker.near_interval_s)

    def _send_heartbeat(self, now: float, heartbeat: Heartbeat, far: bool) -> None:
        """Sends this host's heartbeat, and digests if this host is a forwarder."""
        forwarded = self._router.forwards
        recipients = self._router.recipients(now, far)
        if self._router.forwards != forwarded:
            logger.bind(forwards=self._router.forwards).info("forwarding changed")
            self._targets.replace_remote_in_flight({})
        self._sent_in_flight = dict(heartbeat.in_flight)
        self._peers.send_all(recipients.heartbeat, heartbeat)
        records = self._records.recent_heartbeats() if recipients.near else []
        for hosts, digest in self._router.digests(now, heartbeat, records, recipients):
            self._peers.send_all(hosts, digest)

    def _own_heartbeat(self, has_all_teams: bool) -> Heartbeat:
        recent = time.monotonic() - 3 * self._tracker.far_interval_s
        plan_key, plan = self._plans.source or ("", b"")
        return Heartbeat(
            host=self.cfg.name,
            boot=self.boot,
            data_centre=self.cfg.data_centre,
            address=self._peers.address,
            port=self._peers.port,
            age_s=time.monotonic() - self._began,
            draining=self.draining,
            store_lost=self.store_lost(),
            slow=self._slowness.slow,
            targets_revision=self._follower.revision,
            plan_version=self._plans.version,
            plan_key=plan_key,
            plan_bytes=len(plan),
            admitted=self._quota.counts()
            if has_all_teams
            else self._quota.counts(recent),
            has_all_teams=has_all_teams,
            in_flight=self._targets.in_flight,
            cooldowns=self._targets.cooldowns(time.monotonic()),
            leaving=self._targets.leaving.marked(),
            quarantined=self._quarantine.digest,
        )

    def _update_silent(self) -> None:
        tracker = self._tracker
        changed = tracker.update_silent(time.monotonic())
        for host in tracker.silent if self._router.forwards else ():
            self._targets.set_remote_in_flight(host, {})
        for host in changed.lost:
            logger.bind(
                peer=host,
                near_silent_s=tracker.near_silent_s,
                far_silent_s=tracker.far_silent_s,
            ).warning("peer lost")
        for host in changed.regained:
            logger.bind(peer=host).info("peer regained")
        self._targets.silent_data_centres = tracker.silent_data_centres
        for data_centre in tracker.silent_data_centres:
            self._router.forget_data_centre(data_centre)
            self._targets.set_remote_in_flight(data_centre, {})
        self._quota.set_hosts(len(tracker.members) + 1, len(tracker.silent))

    def _on_heartbeat(self, sender: str, heartbeat: Heartbeat) -> None:
        self._receive_heartbeat(time.monotonic(), heartbeat)
        if self._router.forwards:
            self._targets.set_remote_in_flight(heartbeat.host, heartbeat.in_flight)

    def _on_digest(self, sender: str, digest: Digest) -> None:
        now = time.monotonic()
        for heartbeat in digest.heartbeats:
            if heartbeat.host != self.cfg.name and heartbeat.host in digest.ages:
                age_s = digest.ages[heartbeat.host] / 1000
                self._receive_heartbeat(now, heartbeat, age_s)
        for host in self._tracker.receive_ages(now, digest.ages):
            logger.bind(peer=host, forwarder=sender).info("peer regained")
        for heartbeat, age_ms in digest.record_hosts:
            self._receive_record_host(heartbeat, age_ms / 1000)
        if digest.inter_data_centre:
            self._router.receive_far(digest)
            if self._router.forwards:
                self._targets.set_remote_in_flight(digest.data_centre, digest.in_flight)
        elif not self._router.forwards:
            others = {
                name: count - self._sent_in_flight.get(name, 0)
                for name, count in digest.in_flight.items()
            }
            self._targets.replace_remote_in_flight({OTHER_HOSTS: others})

    def _receive_heartbeat(
        self, now: float, heartbeat: Heartbeat, age_s: float | None = None
    ) -> None:
        """Processes a heartbeat that came from its sender or in a digest.

        Args:
            now: Time in seconds.
            heartbeat: The heartbeat.
            age_s: Its age by the digest, in seconds; ``None`` if its sender sent it.
        """
        tracker = self._tracker
        if not tracker.is_repeated(heartbeat):
            if age_s is not None:
                heartbeat = tracker.with_known_in_flight(heartbeat)
            self._process_state(now, heartbeat, age_s or 0.0)
        elif age_s is None:
            tracker.renew(now, heartbeat)
        else:
            tracker.renew_forwarded(heartbeat)

    def _process_state(self, now: float, heartbeat: Heartbeat, age_s: float) -> None:
        """Processes a heartbeat that may state something new."""
        if self._tracker.is_older(now - age_s, heartbeat):
            return
        self._check_lost_store(heartbeat)
        if self._tracker.is_new_incarnation(heartbeat):
            self._router.add_started(heartbeat.host)
        regained = self._tracker.receive(now - age_s, heartbeat)
        if regained:
            logger.bind(peer=heartbeat.host).info("peer regained")
        address = PeerAddress(
            heartbeat.host, heartbeat.data_centre, heartbeat.address, heartbeat.port
        )
        if self._tracker.members.get(heartbeat.host) != address:
            self._set_members({**self._tracker.members, heartbeat.host: address})
        fresh = heartbeat.age_s < NEW_INCARNATION_S
        self._quota.merge_peer_counts(
            now,
            heartbeat.host,
            heartbeat.boot,
            heartbeat.admitted,
            fresh,
            regained,
            heartbeat.has_all_teams,
        )
        self._targets.merge_cooldowns(now, heartbeat.cooldowns)
        self._receive_leaving(now, heartbeat)
        self._state_sync.on_heartbeat(heartbeat)

    def _receive_leaving(self, now: float, heartbeat: Heartbeat) -> None:
        if self._targets.leaving.mark_all(heartbeat.leaving, now):
            logger.bind(
                peer=heartbeat.host, targets=[start.name for start in heartbeat.leaving]
            ).info("targets leave")

    def _check_lost_store(self, heartbeat: Heartbeat) -> None:
        """Checks the store when a peer of this data centre has just lost it.

        Otherwise each host would detect the loss by calls of its own, and requests
        would wait for those.
        """
        before = self._tracker.latest.get(heartbeat.host)
        known = before is not None and before.heartbeat.store_lost
        newly_lost = (
            heartbeat.store_lost and not known and self._tracker.is_near(heartbeat)
        )
        if newly_lost and not self.store_lost():
            self._contact.request_probe()
