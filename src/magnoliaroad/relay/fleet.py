"""Which hosts there are, and what they tell each other."""

import asyncio
import math
import random
import time
import uuid

from loguru import logger
from mode import Service

from magnoliaroad.peers import PeerAddress, PeerError, PeerService
from magnoliaroad.quarantine import QuarantineService
from magnoliaroad.records.client import RecordClient
from magnoliaroad.records.messages import RecordHostHere, RelayHostHere
from magnoliaroad.relay.beat import (
    Beat,
    BudgetAsk,
    BudgetGiven,
)
from magnoliaroad.relay.beat_router import BeatRouter
from magnoliaroad.relay.catch_up import ASK_S, CatchUp
from magnoliaroad.relay.digest import WHOLE_EVERY, Digest
from magnoliaroad.relay.host_book import HostBook
from magnoliaroad.relay.host_entry import PREFIX, unpack_host
from magnoliaroad.relay.metrics import LAG
from magnoliaroad.relay.pace_judge import PaceJudge
from magnoliaroad.relay.plan_holder import PlanHolder
from magnoliaroad.relay.quota import QuotaBook
from magnoliaroad.relay.settings import RelaySettings
from magnoliaroad.relay.target_follower import TargetFollower
from magnoliaroad.relay.target_table import TargetTable
from magnoliaroad.rendezvous import rendezvous
from magnoliaroad.set_within import set_within
from magnoliaroad.store import Store, StoreError
from magnoliaroad.store.contact import StoreContact

# Incarnations this young have all their counts from the current window, in seconds.
YOUNG_S = 5.0
# Most hosts that are asked in turn to do a call for this one.
MOST_HELPERS = 2
# Time between checks of contact.
CHECK_S = 0.2
# Most hosts that are asked for tokens they may have borrowed.
MOST_HOLDERS = 16
# Time after its start in which a host hears of others, in seconds: they know its
# entry, and tell it of themselves a few intervals later.
HEARING_S = 1.0
# Hosts for which one writes claims of budgets; 100 hosts start some 400 programs a
# second at the size to design for.
HOSTS_A_WRITER = 100
# Part of a large data centre's hosts that count teams and budgets for the others, and
# the least number of them.
COUNTERS_PART = 1 / 8
LEAST_COUNTERS = 3
# Hosts to which crashes of targets are reported, so that the loss of one loses no
# evidence.
CRASH_DETECTORS = 2
# Wait after the list of hosts could not be read.
LIST_RETRY_S = 1.0
# Longest wait for the host's own entry before the list is read. Of two hosts that
# start together, the one whose entry comes later then finds the other.
ANNOUNCE_S = 2.0
# Time between looks at how late timers are.
PACE_STEP_S = 0.1
# Largest part of a data centre's hosts that turn callers away because they are slow.
MOST_SPARED = 0.34
# Time between a forwarder's messages to record hosts, in seconds.
ASK_RECORDS_S = 1.0
# Name under which the work of all other hosts is known to a host that does not forward.
FLEET = "fleet"


class FleetService(Service):
    """Learns of other hosts and exchanges beats with them.

    The store holds an entry of each host. Hosts that know each other go on without
    the store.

    Args:
        cfg: Settings of the host.
        store: The store.
        peers: Connections between hosts.
        plans: Configuration in force.
        quota: Takes what peers admitted.
        follower: Takes targets that peers know.
        targets: Takes what peers have in hand.
        records: Is told of the record hosts.
        contact: Whether the store can be reached.
        quarantine: Requests that crash targets.

    Attributes:
        boot: This incarnation of the host.
        draining: Whether the host stops.
        isolated: Whether neither the store nor another data centre is reached.
        following: Is set while this host is to follow the store.
    """

    def __init__(
        self,
        cfg: RelaySettings,
        store: Store,
        peers: PeerService,
        plans: PlanHolder,
        quota: QuotaBook,
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
        self.following = asyncio.Event()
        self._contact = contact
        self._quarantine = quarantine
        self._judge = PaceJudge()
        self._news = asyncio.Event()
        self._relist = asyncio.Event()
        self._store = store
        self._peers = peers
        self._plans = plans
        self._quota = quota
        self._targets = targets
        self._follower = follower
        self._records = records
        self._began = time.monotonic()
        self._book = HostBook(cfg, self._began)
        self._router = BeatRouter(cfg, self._book)
        self._told_in_hand: dict[str, int] = {}
        self._asked_records_at = 0.0
        self._fit: tuple[object, dict[str, str]] = (None, {})
        self._counting: list[str] = []
        self._counting_for: object = None
        self._listed = False
        self._catch_up = CatchUp(store, peers, plans, follower, contact, quarantine)
        peers.on(Beat, self._on_beat)
        peers.on(Digest, self._on_digest)
        peers.on(RecordHostHere, self._on_record_host)

    async def on_stop(self) -> None:
        """Ends what is asked of peers."""
        self._catch_up.stop()

    @property
    def holder(self) -> str:
        """Name under which this incarnation claims budgets."""
        return f"{self.cfg.name}#{self.boot}"

    def store_gone(self) -> bool:
        """Whether calls on the store are known to fail now."""
        return self._contact.lost

    def news(self) -> None:
        """Makes peers hear at once of what this host has learnt."""
        self._news.set()

    def relist(self) -> None:
        """Makes the list of hosts be read soon."""
        self._relist.set()

    def budget_hosts(self) -> list[str]:
        """Returns the hosts in contact that can claim budgets, if any do.

        Each turn asks one of them, so those that are slow are left out. Callers come
        to their own data centre, so a program's budget is counted there: no turn
        waits for another data centre, and a cut takes no claims along.
        """
        able = self._fit_for_store()
        near = [host for host in able if able[host] == self.cfg.data_centre]
        near = self._few(near) if self._book.forwarded else near
        return near or list(able) or [self.cfg.name]

    def _few(self, hosts: list[str]) -> list[str]:
        """Returns the hosts of a large data centre that count for the others.

        Answers the load pattern of many hosts with few requests each: spread over all
        peers, nearly every question would need a new connection.
        """
        most = max(LEAST_COUNTERS, math.ceil(len(hosts) * COUNTERS_PART))
        return rendezvous("counters", hosts)[:most]

    def claim_writers(self) -> list[str]:
        """Returns the hosts that write claims of budgets to the store for others."""
        able = sorted(self._fit_for_store())
        return able[: 1 + len(able) // HOSTS_A_WRITER]

    def _fit_for_store(self) -> dict[str, str]:
        """Returns hosts that reach the store and are not slow, with data centres."""
        able = not (self.draining or self.store_gone() or self._judge.slow)
        state = (self._book.version, able)
        if self._fit[0] != state:
            fit = {
                host: beat.data_centre
                for host, beat in self._book.reaching_store().items()
                if not beat.slow
            }
            if able:
                fit[self.cfg.name] = self.cfg.data_centre
            self._fit = (state, fit)
        return self._fit[1]

    def host_count(self) -> int:
        """Returns how many relay hosts are known, this one included."""
        return len(self._book.members) + 1

    def count_hosts(self) -> list[str]:
        """Returns the hosts that count teams' requests, the same on all hosts.

        Hosts that are listed and were not heard yet are among them for a moment:
        after many hosts have started again at once, each would otherwise count for
        itself. The list is the same object as long as nothing has changed.
        """
        now = time.monotonic()
        state = (self._book.version, self.draining, int(now))
        if self._counting_for != state:
            self._counting_for = state
            counting = self._choose_counting(now)
            if counting != self._counting:
                self._counting = counting
        return self._counting

    def _choose_counting(self, now: float) -> list[str]:
        contacts = self._book.in_contact()
        places: dict[str, list[str]] = {}
        for place, hosts in self._book.candidates(now).items():
            slow = {host for host in hosts if host in contacts and contacts[host].slow}
            places[place] = [host for host in hosts if host not in slow]
        if not self.draining:
            places.setdefault(self.cfg.data_centre, []).append(self.cfg.name)
        if self._book.forwarded:
            places = {place: self._few(fit) for place, fit in places.items()}
        return sorted(host for fit in places.values() for host in fit)

    def crash_detectors(self) -> list[str]:
        """Returns the hosts that are told of crashes of targets, this one included.

        Each host judges by what itself has lost, too: what it sends to others may be
        lost on a connection that has gone dead.
        """
        names = [*self._book.in_contact(), self.cfg.name]
        first = rendezvous("crashes", names)[:CRASH_DETECTORS]
        return [*(host for host in first if host != self.cfg.name), self.cfg.name]

    def hosts_in_contact(self) -> list[str]:
        """Returns the other relay hosts that are heard."""
        return list(self._book.in_contact())

    def holders(self) -> list[str]:
        """Returns the names under which hosts in contact claim budgets."""
        beats = self._book.in_contact().values()
        return [f"{beat.host}#{beat.boot}" for beat in beats][:MOST_HOLDERS]

    def follows_store(self) -> bool:
        """Whether this host is the one that follows the store for its data centre.

        One that has just started waits until it can have heard others. Answers the
        load pattern of a whole fleet that starts: every host would follow the store
        while targets register, at a call for each change.
        """
        young = time.monotonic() - self._began < HEARING_S
        if self.store_gone() or (young and (self._book.members or not self._listed)):
            return False
        reaching = self._book.reaching_store().items()
        near = [host for host, beat in reaching if self._book.is_near(beat)]
        return self.cfg.name == min([*near, self.cfg.name])

    def _note_turn(self) -> None:
        if self.follows_store():
            self.following.set()
        else:
            self.following.clear()

    def watches_closely(self) -> bool:
        """Whether this host notices for all others when its watches are deaf."""
        return self.cfg.name == min([*self._book.reaching_store(), self.cfg.name])

    def cut_off(self) -> bool:
        """Whether callers are served better by other hosts.

        So it is if this host is slow. So it is, too, if it reaches neither the store
        nor a record host, while another of its data centre reaches the store; and if
        the data centre is cut off as a whole: the balancer then sends its callers
        elsewhere.
        """
        if self._spared():
            return True
        if not self.store_gone() or self._records.reached:
            return self.isolated
        near = any(map(self._book.is_near, self._book.reaching_store().values()))
        return near or self.isolated

    def _spared(self) -> bool:
        """Whether this host is slow and its data centre can do without it.

        If many hosts are slow, callers gain nothing elsewhere.
        """
        if not self._judge.slow:
            return False
        near = {
            host: beat.slow
            for host, beat in self._book.in_contact().items()
            if self._book.is_near(beat)
        }
        before = sum(slow for host, slow in near.items() if host < self.cfg.name)
        return before < MOST_SPARED * (len(near) + 1) - 1

    @Service.task
    async def _watch_pace(self) -> None:
        while not self.should_stop:
            due = time.monotonic() + PACE_STEP_S
            await asyncio.sleep(PACE_STEP_S)
            lag_s = max(0.0, time.monotonic() - due)
            LAG.observe({}, lag_s)
            if self._judge.note(lag_s):
                logger.bind(slow=self._judge.slow, lag_s=round(lag_s, 3)).warning(
                    "pace changed"
                )
                self.news()

    def helpers(self) -> list[str]:
        """Returns relay hosts that reach the store, if this one is cut off from it.

        Those of its own data centre come first.
        """
        if not self.store_gone() or self._records.reached:
            return []
        able = [
            (not self._book.is_near(beat), host)
            for host, beat in self._book.reaching_store().items()
        ]
        return [host for _, host in sorted(able)[:MOST_HELPERS]]

    @Service.task
    async def _watch_contact(self) -> None:
        """Doubts the store when other signs of life are missing.

        Its watches notice a cut only after seconds.
        """
        while not self.should_stop:
            await asyncio.sleep(CHECK_S)
            alone = self._book.alone(time.monotonic())
            if alone or (self._records.hosts and not self._records.reached):
                self._contact.doubt()
            isolated = alone and self.store_gone()
            if isolated != self.isolated:
                logger.bind(isolated=isolated).warning("contact changed")
            self.isolated = isolated

    async def ask_budget(self, holder: str, program: str) -> BudgetGiven | None:
        """Asks the host behind ``holder`` to lend unused tokens."""
        host, _, boot = holder.partition("#")
        heard = self._book.heard.get(host)
        if heard is None or heard.beat.boot != boot:
            return None
        try:
            return await self._peers.call(host, BudgetAsk(program), ASK_S)
        except PeerError as exc:
            logger.bind(host=host, program=program, reason=str(exc)).info(
                "budget not lent"
            )
            return None

    @Service.task
    async def _follow_list(self) -> None:
        await self._listed_soon(ANNOUNCE_S)
        while not self.should_stop:
            try:
                await self.read_list()
            except StoreError as exc:
                logger.bind(reason=str(exc)).info("hosts not listed")
                await asyncio.sleep(LIST_RETRY_S * random.uniform(0.7, 1.0))
                continue
            while True:
                interval_s = self.cfg.fleet.list_interval_s * random.uniform(0.7, 1.0)
                if await self._listed_soon(interval_s) or self._book.silent:
                    break

    async def _listed_soon(self, limit_s: float) -> bool:
        """Waits until the list is to be read; returns whether it is."""
        asked = await set_within(self._relist, limit_s)
        if asked:
            self._relist.clear()
        return asked

    async def read_list(self) -> None:
        """Reads the store's list of hosts.

        Raises:
            StoreError: The store did not answer.
        """
        batch = await self._store.list(PREFIX)
        listed: dict[str, PeerAddress] = {}
        record_hosts: dict[str, PeerAddress] = {}
        for entry in batch.changed:
            host = entry.key.removeprefix(PREFIX)
            known = unpack_host(entry.value)
            if not known.relays:
                record_hosts[host] = known.peer(host)
            elif host != self.cfg.name:
                listed[host] = known.peer(host)
        self._listed = True
        self._records.set_hosts(record_hosts)
        members = self._book.merged(time.monotonic(), listed)
        for host in self._book.members.keys() - members.keys():
            logger.bind(host=host).info("host gone")
            self._book.forget(host)
            self._quota.forget(host)
        self._set_members(members)

    def _greet_record_hosts(self, now: float) -> None:
        """Tells record hosts that this host is there.

        Those that are not heard are told in a small fleet, and all of them by
        forwarders of a large one, which pass on what they answer.
        """
        hosts = self._records.unheard()
        if self._book.forwarded:
            due = now - self._asked_records_at >= ASK_RECORDS_S
            if not due or not (self._router.forwards or not self._records.reached):
                return
            self._asked_records_at = now
            hosts = list(self._records.hosts)
        here = RelayHostHere(
            self.cfg.name, self.cfg.data_centre, self._peers.address, self._peers.port
        )
        self._peers.send_all(hosts, here)

    def _on_record_host(self, sender: str, here: RecordHostHere) -> None:
        self._hear_record_host(here, 0.0)

    def _hear_record_host(self, here: RecordHostHere, age_s: float) -> None:
        if self._records.heard(here, age_s):
            logger.bind(host=here.host).info("record host known")
            self._set_members(self._book.members)

    def _set_members(self, members: dict[str, PeerAddress]) -> None:
        for host in members.keys() - self._book.members.keys():
            logger.bind(host=host).info("host known")
        self._book.set_members(time.monotonic(), members)
        self._peers.learn([*members.values(), *self._records.hosts.values()])
        if not self._book.forwarded:
            self._targets.forget_hosts(members)

    @Service.task
    async def _beat(self) -> None:
        sent, far_at = 0, 0.0
        while not self.should_stop:
            now = time.monotonic()
            told = self._news.is_set()
            self._news.clear()
            far = told or now >= far_at
            if far:
                # Spread: hosts start together, and would all fall silent together.
                far_at = now + self._book.far_s * random.uniform(0.5, 1.5)
                sent += 1
            beat = self._own_beat(whole=far and sent % WHOLE_EVERY == 1)
            self._tell(now, beat, far)
            self._count_silent()
            self._note_turn()
            self._catch_up.look(self._book)
            self._greet_record_hosts(now)
            await set_within(self._news, self._book.near_s)

    def _tell(self, now: float, beat: Beat, far: bool) -> None:
        """Sends this host's beat, and digests if it forwards those of others."""
        forwarded = self._router.forwards
        told = self._router.recipients(now, far)
        if self._router.forwards != forwarded:
            logger.bind(forwards=self._router.forwards).info("forwarding changed")
            self._targets.heard_all({})
        self._told_in_hand = dict(beat.in_hand)
        self._peers.send_all(told.beat, beat)
        if told.far:
            self._peers.send_all(told.far, self._router.far_digest(now, beat))
        if told.near:
            records = self._records.told()
            digest = self._router.near_digest(now, beat, records)
            self._peers.send_all(told.near, digest)

    def _own_beat(self, whole: bool) -> Beat:
        recent = time.monotonic() - 3 * self._book.far_s
        plan_key, plan = self._plans.source or ("", b"")
        return Beat(
            host=self.cfg.name,
            boot=self.boot,
            data_centre=self.cfg.data_centre,
            address=self._peers.address,
            port=self._peers.port,
            age_s=time.monotonic() - self._began,
            draining=self.draining,
            store_lost=self.store_gone(),
            slow=self._judge.slow,
            targets_revision=self._follower.revision,
            plan_version=self._plans.version,
            plan_key=plan_key,
            plan_bytes=len(plan),
            admitted=self._quota.counts() if whole else self._quota.counts(recent),
            whole=whole,
            in_hand=self._targets.in_hand,
            rests=self._targets.rests(time.monotonic()),
            leaving=self._targets.leaving.marked(),
            quarantined=self._quarantine.digest,
        )

    def _count_silent(self) -> None:
        book = self._book
        changed = book.count_silent(time.monotonic())
        for host in book.silent if self._router.forwards else ():
            self._targets.heard(host, {})
        for host in changed.lost:
            logger.bind(
                peer=host, near_s=book.near_silent_s, far_s=book.far_silent_s
            ).warning("peer lost")
        for host in changed.regained:
            logger.bind(peer=host).info("peer regained")
        for place in book.places_silent:
            self._router.forget_place(place)
            self._targets.heard(place, {})
        self._quota.set_hosts(len(book.members) + 1, len(book.silent))

    def _on_beat(self, sender: str, beat: Beat) -> None:
        self._hear_beat(time.monotonic(), beat)
        if self._router.forwards:
            self._targets.heard(beat.host, beat.in_hand)

    def _on_digest(self, sender: str, digest: Digest) -> None:
        now = time.monotonic()
        for beat in digest.beats:
            if beat.host != self.cfg.name and beat.host in digest.ages:
                age_s = digest.ages[beat.host] / 1000
                self._hear_beat(now, self._book.with_work(beat), age_s)
        for host in self._book.hear_ages(now, digest.ages):
            logger.bind(peer=host, forwarder=sender).info("peer regained")
        for here, age_ms in digest.record_hosts:
            self._hear_record_host(here, age_ms / 1000)
        if digest.onward:
            self._router.hear_far(digest)
            if self._router.forwards:
                self._targets.heard(digest.data_centre, digest.in_hand)
        elif not self._router.forwards:
            others = {
                name: count - self._told_in_hand.get(name, 0)
                for name, count in digest.in_hand.items()
            }
            self._targets.heard_all({FLEET: others})

    def _hear_beat(self, now: float, beat: Beat, age_s: float = 0.0) -> None:
        """Takes the beat of a peer, which came to this host or its forwarder."""
        if self._book.is_older(now - age_s, beat):
            return
        self._doubt_as(beat)
        if self._book.meets(beat):
            self._router.met()
        regained = self._book.hear(now - age_s, beat)
        if regained:
            logger.bind(peer=beat.host).info("peer regained")
        address = PeerAddress(beat.host, beat.data_centre, beat.address, beat.port)
        if self._book.members.get(beat.host) != address:
            self._set_members({**self._book.members, beat.host: address})
        fresh = beat.age_s < YOUNG_S
        self._quota.heard(
            now, beat.host, beat.boot, beat.admitted, fresh, regained, beat.whole
        )
        self._targets.heard_rests(now, beat.rests)
        self._hear_leaving(now, beat)
        self._catch_up.hear(beat)

    def _hear_leaving(self, now: float, beat: Beat) -> None:
        if self._targets.leaving.mark_all(beat.leaving, now):
            logger.bind(
                peer=beat.host, targets=[start.name for start in beat.leaving]
            ).info("targets leave")

    def _doubt_as(self, beat: Beat) -> None:
        """Asks for the store when a peer of this data centre has just lost it.

        Otherwise each host would notice by calls of its own, which requests wait for.
        """
        before = self._book.heard.get(beat.host)
        known = before is not None and before.beat.store_lost
        news = beat.store_lost and not known and self._book.is_near(beat)
        if news and not self.store_gone():
            self._contact.doubt()
