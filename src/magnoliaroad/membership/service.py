"""Announces this host, and tracks the other hosts and all departures."""

import asyncio
from collections.abc import Callable

from loguru import logger
from mode import Service

from magnoliaroad.background import background_task
from magnoliaroad.membership import metrics
from magnoliaroad.membership.departures import Departures, DepartureTracker
from magnoliaroad.membership.host_list import HostList, HostListError
from magnoliaroad.membership.host_list_http import HttpHostList
from magnoliaroad.membership.lease import HostLease
from magnoliaroad.membership.messages import MembershipReply, MembershipRequest
from magnoliaroad.membership.record import HOSTS_PREFIX, HostRecord
from magnoliaroad.membership.seeds import seed_addresses
from magnoliaroad.membership.settings import MembershipSettings
from magnoliaroad.membership.view import MembershipView
from magnoliaroad.peers import PeerError, Peers
from magnoliaroad.rendezvous import rendezvous
from magnoliaroad.store import Store, StoreError

RETRY_S = 0.5
REQUEST_TIMEOUT_S = 0.5


class MembershipService(Service):
    """Keeps the host's lease and the membership view.

    A few hosts of each data centre (its pollers) watch the store and poll the
    platform's list; the others request changes from one of them.

    Attributes:
        record: Record of this host.
        hosts: Records of the live hosts, by name, including those that drain.
        has_synced: Whether the host records were ever read, here or by a peer.
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
        self.has_synced = False
        self._view = MembershipView(record, cfg.heard_s)
        self._departures = DepartureTracker()
        self._lease = HostLease(cfg, store)
        self._store = store
        self._peers = peers
        self._host_list = host_list or _make_host_list(cfg)
        self._seeds = seed_addresses(seeds)
        self._listeners: list[Callable[[], None]] = []
        self._published: tuple[dict[str, HostRecord], Departures] | None = None
        self._announcing = False
        self._poll_rounds = 0
        peers.on(MembershipRequest, self._on_request, reply=MembershipReply)

    @property
    def record(self) -> HostRecord:
        """Record of this host."""
        return self._view.me

    @record.setter
    def record(self, record: HostRecord) -> None:
        self._view.me = record

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
    def has_platform_list(self) -> bool:
        """Whether there is a platform's list, from which removed hosts are known."""
        return self._host_list is not None

    @property
    def removed_hosts(self) -> frozenset[str]:
        """Names of hosts that were removed from the platform's list."""
        return self._departures.current.removed_hosts

    def on_change(self, listener: Callable[[], None]) -> None:
        """Registers ``listener``, called when hosts or departures have changed."""
        self._listeners.append(listener)

    async def on_start(self) -> None:
        """Reads the host records once, without announcing this host."""
        try:
            await self._read_records()
        except StoreError as exc:
            logger.bind(reason=str(exc)).warning("store not reachable at start")
        self._publish()
        await self._sync_with_seeds()

    async def announce(self, record: HostRecord) -> None:
        """Announces that the host now serves requests."""
        self.record = record
        self._announcing = True
        await self._refresh_lease()
        await self._find_hosts_that_started()
        await self._announce_to_pollers()
        self._publish()

    async def drain(self) -> None:
        """Announces that the host is shutting down."""
        self.record = self.record._replace(draining=True)
        if self._announcing:
            await asyncio.gather(self._refresh_lease(), self._announce_to_pollers())
        self._publish()

    async def on_stop(self) -> None:
        """Revokes the lease."""
        try:
            await self._lease.revoke()
        except StoreError as exc:
            logger.bind(reason=str(exc)).warning("lease not revoked, it will expire")

    async def on_shutdown(self) -> None:
        """Closes the connection to the platform."""
        if self._host_list is not None:
            await self._host_list.close()

    @background_task
    async def _renew(self) -> None:
        while not self.should_stop:
            await asyncio.sleep(RETRY_S)
            if self._announcing and self._lease.is_due():
                await self._refresh_lease()

    @background_task
    async def _watch(self) -> None:
        while not self.should_stop:
            if not self._is_poller():
                await asyncio.sleep(self.cfg.poll_interval_s)
                continue
            try:
                if not self._view.revision:
                    await self._read_records()
                metrics.STORE_CALLS.inc({"type": "watch"})
                batch = await self._store.watch(
                    HOSTS_PREFIX, self._view.revision, self.cfg.watch_s
                )
                self._view.apply_changes(batch)
                self._publish()
            except StoreError:
                await asyncio.sleep(RETRY_S)

    @background_task
    async def _poll(self) -> None:
        while not self.should_stop:
            await asyncio.sleep(self.cfg.poll_interval_s)
            if not self.has_synced:
                await self._sync_with_any_peer()
            if self._is_poller():
                await self._read_platform_list()
                await self._sync_with_other_poller()
            else:
                await self._sync_with_poller()
            await self._sync_with_seeds()
            self._publish()

    def _is_poller(self) -> bool:
        return self.record.host in self._ranked_hosts()[: self.cfg.pollers]

    def _ranked_hosts(self, data_centre: str = "") -> list[str]:
        centre = data_centre or self.record.data_centre
        names = [
            record.host
            for record in self._view.hosts(_now()).values()
            if record.data_centre == centre and not record.draining
        ]
        return rendezvous(f"poller/{centre}", names)

    async def _refresh_lease(self) -> None:
        try:
            await self._lease.refresh(self.record, len(self.hosts))
        except StoreError as exc:
            logger.bind(reason=str(exc)).warning("lease not renewed")

    async def _read_records(self) -> None:
        metrics.STORE_CALLS.inc({"type": "list"})
        self._view.apply_snapshot(await self._store.list(HOSTS_PREFIX))
        self.has_synced = True

    async def _read_platform_list(self) -> None:
        if self._host_list is None:
            return
        requested_at = _now()
        try:
            self._departures.apply_list(requested_at, await self._host_list.read())
        except HostListError as exc:
            logger.bind(reason=str(exc)).debug("platform's list could not be read")

    async def _find_hosts_that_started(self) -> None:
        """Reads the records again: of two hosts that start, one finds the other."""
        try:
            await self._read_records()
        except StoreError as exc:
            logger.bind(reason=str(exc)).debug("cannot read host records")
        self._publish()

    async def _announce_to_pollers(self) -> None:
        names = self._ranked_hosts()[: self.cfg.pollers + 1]
        others = [host for host in names if host != self.record.host]
        await asyncio.gather(*(self._sync_with(host) for host in others))

    async def _sync_with_seeds(self) -> None:
        if self.has_synced or len(self.hosts) > 1 or not self._seeds:
            return
        self._peers.set_addresses(self._seeds)
        await asyncio.gather(*(self._sync_with(seed.host) for seed in self._seeds))
        self._publish()

    async def _sync_with_poller(self) -> None:
        pollers = self._ranked_hosts()[: self.cfg.pollers]
        for host in pollers:
            if host != self.record.host and await self._sync_with(host):
                return

    async def _sync_with_other_poller(self) -> None:
        data_centres = {record.data_centre for record in self.hosts.values()}
        pollers = [
            host
            for data_centre in sorted(data_centres)
            for host in self._ranked_hosts(data_centre)[: self.cfg.pollers]
            if host != self.record.host
        ]
        self._poll_rounds += 1
        if pollers:
            await self._sync_with(pollers[self._poll_rounds % len(pollers)])

    async def _sync_with_any_peer(self) -> None:
        for address in self._peers.addresses():
            if await self._sync_with(address.host) and self.has_synced:
                return

    async def _sync_with(self, host: str) -> bool:
        requested_at = _now()
        request = MembershipRequest(self._view.revision, self.record)
        try:
            reply = await self._peers.call(host, request, timeout_s=REQUEST_TIMEOUT_S)
        except PeerError:
            return False
        self._view.apply_reply(reply, _now())
        self.has_synced = self.has_synced or bool(reply.revision)
        if reply.departures_age_s is not None:
            self._departures.apply_relayed(
                requested_at - reply.departures_age_s, reply.departures
            )
        return True

    async def _on_request(
        self, sender: str, request: MembershipRequest
    ) -> MembershipReply:
        now = _now()
        self._view.add_report(request.record, now)
        reply = self._view.reply(request.revision, now)
        age_s = self._departures.age_s(now)
        if age_s != float("inf"):
            reply = reply._replace(
                departures=self._departures.current, departures_age_s=age_s
            )
        self._publish()
        return reply

    def _publish(self) -> None:
        hosts = self._view.hosts(_now())
        state = (hosts, self._departures.current)
        if state == self._published:
            return
        before, self._published = self._published, state
        self.hosts = hosts
        if self.has_synced:
            self._peers.set_addresses(
                [record.peer_address for record in hosts.values()]
            )
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


def _make_host_list(cfg: MembershipSettings) -> HostList | None:
    if not cfg.host_list_url:
        return None
    return HttpHostList(cfg.host_list_url, cfg.host_list_timeout_s)
