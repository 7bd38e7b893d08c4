"""Announces this host, and tracks the other hosts and all departures."""

import asyncio
from collections.abc import Callable

from loguru import logger
from mode import Service

from magnoliaroad.membership import metrics
from magnoliaroad.membership.departures import Departures, DepartureTracker
from magnoliaroad.membership.host_list import HostList, HostListError
from magnoliaroad.membership.host_list_http import HttpHostList
from magnoliaroad.membership.lease import HostLease
from magnoliaroad.membership.messages import HostsAnswer, HostsAsk
from magnoliaroad.membership.record import HOSTS_PREFIX, HostRecord
from magnoliaroad.membership.roster import Roster
from magnoliaroad.membership.seeds import seed_addresses
from magnoliaroad.membership.settings import MembershipSettings
from magnoliaroad.peers import PeerError, Peers
from magnoliaroad.rendezvous import rendezvous
from magnoliaroad.store import Store, StoreError

RETRY_S = 0.5
ASK_TIMEOUT_S = 0.5


class MembershipService(Service):
    """Keeps the host's lease and the membership view.

    A few hosts of each data centre (its pollers) watch the store and poll the
    platform's list; the others request changes from one of them.

    Attributes:
        record: Record of this host.
        hosts: Records of the live hosts, by name, including those that drain.
        is_read: Whether the host records were ever read, here or by a peer.
    """

    def __init__(
        self,
        cfg: MembershipSettings,
        record: HostRecord,
        store: Store,
        peers: Peers,
        host_list: HostList | None = None,
        seeds: tuple[str, ...] = (),
    ) -> None:
        super().__init__()
        self.cfg = cfg
        self.hosts: dict[str, HostRecord] = {record.host: record}
        self.is_read = False
        self._roster = Roster(record, cfg.heard_s)
        self._departures = DepartureTracker()
        self._lease = HostLease(cfg, store)
        self._store = store
        self._peers = peers
        self._host_list = host_list or _host_list(cfg)
        self._seeds = seed_addresses(seeds)
        self._listeners: list[Callable[[], None]] = []
        self._published: tuple[dict[str, HostRecord], Departures] | None = None
        self._announcing = False
        self._rounds = 0
        peers.on(HostsAsk, self._on_ask, reply=HostsAnswer)

    @property
    def record(self) -> HostRecord:
        """Record of this host."""
        return self._roster.me

    @record.setter
    def record(self, record: HostRecord) -> None:
        self._roster.me = record

    @property
    def leaving_targets(self) -> frozenset[str]:
        """Names of targets that must get no new requests."""
        return self._departures.current.targets

    @property
    def leaving_hosts(self) -> frozenset[str]:
        """Names of hosts that must get no new requests: leaving or draining ones."""
        draining = {r.host for r in self.hosts.values() if r.draining}
        return self._departures.current.hosts | draining

    @property
    def has_host_list(self) -> bool:
        """Whether there is a platform's list, from which removed hosts are known."""
        return self._host_list is not None

    @property
    def gone_hosts(self) -> frozenset[str]:
        """Names of hosts that were removed from the platform's list."""
        return self._departures.current.gone

    def on_change(self, listener: Callable[[], None]) -> None:
        """Registers ``listener``, called when hosts or departures have changed."""
        self._listeners.append(listener)

    async def on_start(self) -> None:
        """Reads the host records once, without announcing this host."""
        try:
            await self._read_list()
        except StoreError as exc:
            logger.bind(reason=str(exc)).warning("store not reachable at start")
        self._publish()
        await self._ask_seeds()

    async def announce(self, record: HostRecord) -> None:
        """Announces that the host now serves requests."""
        self.record = record
        self._announcing = True
        await self._keep_lease()
        await self._tell_pollers()
        self._publish()

    async def drain(self) -> None:
        """Announces that the host is shutting down."""
        self.record = self.record._replace(draining=True)
        if self._announcing:
            await asyncio.gather(self._keep_lease(), self._tell_pollers())
        self._publish()

    async def on_stop(self) -> None:
        """Revokes the lease."""
        try:
            await self._lease.give_back()
        except StoreError as exc:
            logger.bind(reason=str(exc)).warning("lease not revoked, it will expire")

    async def on_shutdown(self) -> None:
        """Closes the connection to the platform."""
        if self._host_list is not None:
            await self._host_list.close()

    @Service.task
    async def _renew(self) -> None:
        while not self.should_stop:
            await asyncio.sleep(RETRY_S)
            if self._announcing and self._lease.is_due():
                await self._keep_lease()

    @Service.task
    async def _watch(self) -> None:
        while not self.should_stop:
            if not self._is_poller():
                await asyncio.sleep(self.cfg.poll_interval_s)
                continue
            try:
                if not self._roster.revision:
                    await self._read_list()
                metrics.STORE_CALLS.inc({"type": "watch"})
                batch = await self._store.watch(
                    HOSTS_PREFIX, self._roster.revision, self.cfg.watch_s
                )
                self._roster.take_changes(batch)
                self._publish()
            except StoreError:
                await asyncio.sleep(RETRY_S)

    @Service.task
    async def _poll(self) -> None:
        while not self.should_stop:
            await asyncio.sleep(self.cfg.poll_interval_s)
            if not self.is_read:
                await self._ask_anyone()
            if self._is_poller():
                await self._read_platform()
                await self._ask_other_poller()
            else:
                await self._ask_one()
            await self._ask_seeds()
            self._publish()

    def _is_poller(self) -> bool:
        return self.record.host in self._ranked()[: self.cfg.pollers]

    def _ranked(self, data_centre: str = "") -> list[str]:
        place = data_centre or self.record.data_centre
        names = [
            record.host
            for record in self._roster.hosts(_now()).values()
            if record.data_centre == place and not record.draining
        ]
        return rendezvous(f"poller/{place}", names)

    async def _keep_lease(self) -> None:
        try:
            await self._lease.keep(self.record, len(self.hosts))
        except StoreError as exc:
            logger.bind(reason=str(exc)).warning("lease not renewed")

    async def _read_list(self) -> None:
        metrics.STORE_CALLS.inc({"type": "list"})
        self._roster.take_list(await self._store.list(HOSTS_PREFIX))
        self.is_read = True

    async def _read_platform(self) -> None:
        if self._host_list is None:
            return
        asked_at = _now()
        try:
            self._departures.take_list(asked_at, await self._host_list.read())
        except HostListError as exc:
            logger.bind(reason=str(exc)).debug("platform's list could not be read")

    async def _tell_pollers(self) -> None:
        names = self._ranked()[: self.cfg.pollers + 1]
        others = [host for host in names if host != self.record.host]
        await asyncio.gather(*(self._ask(host) for host in others))

    async def _ask_seeds(self) -> None:
        if self.is_read or len(self.hosts) > 1 or not self._seeds:
            return
        self._peers.learn(self._seeds)
        await asyncio.gather(*(self._ask(seed.host) for seed in self._seeds))
        self._publish()

    async def _ask_one(self) -> None:
        pollers = self._ranked()[: self.cfg.pollers]
        for host in pollers:
            if host != self.record.host and await self._ask(host):
                return

    async def _ask_other_poller(self) -> None:
        places = {record.data_centre for record in self.hosts.values()}
        pollers = [
            host
            for place in sorted(places)
            for host in self._ranked(place)[: self.cfg.pollers]
            if host != self.record.host
        ]
        self._rounds += 1
        if pollers:
            await self._ask(pollers[self._rounds % len(pollers)])

    async def _ask_anyone(self) -> None:
        for address in self._peers.addresses():
            if await self._ask(address.host) and self.is_read:
                return

    async def _ask(self, host: str) -> bool:
        asked_at = _now()
        ask = HostsAsk(self._roster.revision, self.record)
        try:
            answer = await self._peers.call(host, ask, timeout_s=ASK_TIMEOUT_S)
        except PeerError:
            return False
        self._roster.take_answer(answer, _now())
        self.is_read = self.is_read or bool(answer.revision)
        if answer.age_s is not None:
            self._departures.take_relayed(asked_at - answer.age_s, answer.departures)
        return True

    async def _on_ask(self, sender: str, ask: HostsAsk) -> HostsAnswer:
        now = _now()
        self._roster.note_heard(ask.record, now)
        answer = self._roster.answer(ask.revision, now)
        age_s = self._departures.age_s(now)
        if age_s != float("inf"):
            answer = answer._replace(departures=self._departures.current, age_s=age_s)
        self._publish()
        return answer

    def _publish(self) -> None:
        hosts = self._roster.hosts(_now())
        state = (hosts, self._departures.current)
        if state == self._published:
            return
        before, self._published = self._published, state
        self.hosts = hosts
        if self.is_read:
            self._peers.learn([record.peer_address for record in hosts.values()])
        self._log_change(before)
        for listener in self._listeners:
            listener()

    def _log_change(
        self, before: tuple[dict[str, HostRecord], Departures] | None
    ) -> None:
        departures = self._departures.current
        metrics.HOSTS.set({}, len(self.hosts))
        draining = [r.host for r in self.hosts.values() if r.draining]
        metrics.DRAINING.set({}, len(draining))
        metrics.LEAVING_TARGETS.set({}, len(departures.targets))
        known = before[0] if before else {}
        logger.bind(
            joined=sorted(self.hosts.keys() - known.keys()),
            left=sorted(known.keys() - self.hosts.keys()),
            draining=sorted(draining),
            leaving_targets=sorted(departures.targets),
        ).info("membership changed")


def _now() -> float:
    return asyncio.get_running_loop().time()


def _host_list(cfg: MembershipSettings) -> HostList | None:
    if not cfg.host_list_url:
        return None
    return HttpHostList(cfg.host_list_url, cfg.host_list_timeout_s)
