"""Which hosts there are, and what they tell each other."""

import asyncio
import random
import time
import uuid
from typing import NamedTuple

from loguru import logger
from mode import Service

from magnoliaroad.peers import PeerAddress, PeerError, PeerService
from magnoliaroad.records.client import RecordClient
from magnoliaroad.records.messages import RecordHostHere
from magnoliaroad.relay.beat import Beat, BudgetAsk, BudgetGiven, PlanAsk, PlanTold
from magnoliaroad.relay.host_entry import PREFIX, unpack_host
from magnoliaroad.relay.plan_holder import PlanHolder
from magnoliaroad.relay.quota import QuotaBook
from magnoliaroad.relay.settings import RelaySettings
from magnoliaroad.relay.target_table import TargetTable
from magnoliaroad.store import Store, StoreError

# Incarnations this young have all their counts from the current window, in seconds.
YOUNG_S = 5.0
# Longest wait for a peer's configuration or returned budget.
ASK_S = 0.3
# Wait after the list of hosts could not be read.
LIST_RETRY_S = 1.0
# Time between readings of the list at a host's start.
FIRST_LIST_S = 2.0
# Beats a second that a host sends at most; larger fleets beat less often.
MOST_BEATS_PER_S = 150.0


class _Heard(NamedTuple):
    """The newest beat of a peer and when it came."""

    beat: Beat
    at: float


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
        targets: Takes what peers have in hand.
        records: Is told of the record hosts.
    """

    def __init__(
        self,
        cfg: RelaySettings,
        store: Store,
        peers: PeerService,
        plans: PlanHolder,
        quota: QuotaBook,
        targets: TargetTable,
        records: RecordClient,
    ) -> None:
        super().__init__()
        self.cfg = cfg
        self.boot = uuid.uuid4().hex[:12]
        self.draining = False
        self._store = store
        self._peers = peers
        self._plans = plans
        self._quota = quota
        self._targets = targets
        self._records = records
        self._began = time.monotonic()
        self._members: dict[str, PeerAddress] = {}
        self._heard: dict[str, _Heard] = {}
        self._asking = False
        peers.on(Beat, self._on_beat)
        peers.on(RecordHostHere, self._on_record_host)
        peers.on(PlanAsk, self._on_plan_ask, PlanTold)

    @property
    def holder(self) -> str:
        """Name under which this incarnation claims budgets."""
        return f"{self.cfg.name}#{self.boot}"

    def alive(self) -> list[str]:
        """Returns the relay hosts in contact, this one included."""
        since = time.monotonic() - self._silent_s()
        names = [
            host
            for host, heard in self._heard.items()
            if heard.at >= since and not heard.beat.draining
        ]
        return [self.cfg.name, *names]

    async def ask_budget(self, holder: str, program: str) -> BudgetGiven | None:
        """Asks the host behind ``holder`` to give back unused tokens."""
        host, _, boot = holder.partition("/")[0].partition("#")
        heard = self._heard.get(host)
        if heard is None or heard.beat.boot != boot:
            return None
        try:
            return await self._peers.call(host, BudgetAsk(program), ASK_S)
        except PeerError as exc:
            logger.bind(host=host, program=program, reason=str(exc)).info(
                "budget not returned"
            )
            return None

    @Service.task
    async def _follow_list(self) -> None:
        while not self.should_stop:
            try:
                await self._list()
                # All hosts start together: those listed at first are not all.
                young = time.monotonic() - self._began < YOUNG_S
                pause_s = FIRST_LIST_S if young else self.cfg.fleet.list_interval_s
            except StoreError as exc:
                logger.bind(reason=str(exc)).info("hosts not listed")
                pause_s = LIST_RETRY_S
            await asyncio.sleep(pause_s * random.uniform(0.7, 1.0))

    async def _list(self) -> None:
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
        self._records.set_hosts(record_hosts)
        now = time.monotonic()
        for host, address in self._members.items():
            heard = self._heard.get(host)
            if host not in listed and heard and now - heard.at < self._silent_s():
                listed[host] = address
        for host in self._members.keys() - listed.keys():
            logger.bind(host=host).info("host gone")
            self._heard.pop(host, None)
            self._quota.forget(host)
        self._set_members(listed)

    async def _on_record_host(self, sender: str, here: RecordHostHere) -> None:
        if self._records.heard(here):
            logger.bind(host=here.host).info("record host known")
            self._set_members(self._members)

    def _set_members(self, members: dict[str, PeerAddress]) -> None:
        for host in members.keys() - self._members.keys():
            logger.bind(host=host).info("host known")
        self._members = members
        self._peers.learn([*members.values(), *self._records.hosts.values()])
        self._targets.forget_hosts(members)

    @Service.task
    async def _beat(self) -> None:
        while not self.should_stop:
            beat = self._own_beat()
            for host in self._members:
                self._peers.send(host, beat)
            self._count_silent()
            await asyncio.sleep(self._interval_s())

    def _interval_s(self) -> float:
        least = len(self._members) / MOST_BEATS_PER_S
        return max(self.cfg.fleet.beat_interval_s, least)

    def _silent_s(self) -> float:
        return max(self.cfg.quota.silent_s, 4 * self._interval_s())

    def _own_beat(self) -> Beat:
        return Beat(
            host=self.cfg.name,
            boot=self.boot,
            data_centre=self.cfg.data_centre,
            address=self._peers.address,
            port=self._peers.port,
            age_s=time.monotonic() - self._began,
            draining=self.draining,
            plan_version=self._plans.version,
            admitted=self._quota.counts(),
            in_hand=self._targets.in_hand,
        )

    def _count_silent(self) -> None:
        now, limit_s = time.monotonic(), self._silent_s()
        silent = 0
        for host in self._members:
            heard = self._heard.get(host)
            if heard is None or now - heard.at > limit_s:
                silent += 1
                self._targets.heard(host, {})
        self._quota.set_hosts(len(self._members) + 1, silent)

    async def _on_beat(self, sender: str, beat: Beat) -> None:
        now = time.monotonic()
        self._heard[beat.host] = _Heard(beat, now)
        address = PeerAddress(beat.host, beat.data_centre, beat.address, beat.port)
        if self._members.get(beat.host) != address:
            self._set_members({**self._members, beat.host: address})
        fresh = beat.age_s < YOUNG_S
        self._quota.heard(now, beat.host, beat.boot, beat.admitted, fresh)
        self._targets.heard(beat.host, beat.in_hand)
        if beat.plan_version > self._plans.version and not self._asking:
            await self._ask_plan(beat.host)

    async def _ask_plan(self, host: str) -> None:
        self._asking = True
        try:
            told = await self._peers.call(host, PlanAsk(self._plans.version), ASK_S)
            if told is not None and told.key:
                self._plans.offer(told.key, told.value, host)
        except PeerError as exc:
            logger.bind(host=host, reason=str(exc)).info("configuration not told")
        finally:
            self._asking = False

    async def _on_plan_ask(self, sender: str, ask: PlanAsk) -> PlanTold:
        if self._plans.source is None or self._plans.version <= ask.version:
            return PlanTold("", b"")
        return PlanTold(*self._plans.source)
