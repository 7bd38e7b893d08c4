"""Client of the record hosts and of the store behind them."""

import asyncio
import math
import time
from collections.abc import Awaitable, Callable
from typing import Any

from loguru import logger

from magnoliaroad.peers import PeerAddress, PeerError, Peers
from magnoliaroad.records.keep_calls import (
    KEPT,
    LATE,
    NOT_REACHED,
    NOT_SYNCED,
    SYNCED,
    KeepCalls,
)
from magnoliaroad.records.messages import (
    FetchRecord,
    FetchRecordReply,
    KeepRecord,
    KeepRecordReply,
    ProxyFetchReply,
    ProxyFetchRequest,
    ProxyKeepRequest,
    RecordHostHeartbeat,
)
from magnoliaroad.records.settings import RecordSettings
from magnoliaroad.rendezvous import rendezvous
from magnoliaroad.store import LeaseLost, Store, StoreError, StorePut
from magnoliaroad.store.leases import LeasePool

# First and longest pause between attempts, in seconds.
MIN_RETRY_S = 0.05
MAX_RETRY_S = 0.4

# Name of the store among the hosts that are asked to keep a record.
STORE = "store"
# Heartbeats that a host must have missed to count as lost when its reply is late.
MISSED_HEARTBEATS = 2

RecordRequest = KeepRecord | FetchRecord | ProxyKeepRequest | ProxyFetchRequest


class RecordClient:
    """Writes records to record hosts, or to the store, and reads them.

    Args:
        cfg: Time limits.
        data_centre: Data centre of this host.
        store: The store.
        leases: Leases for records that this host writes to the store itself.
        peers: Connections between hosts.
        refresh_hosts: Reads the list of record hosts from the store and calls
            ``set_hosts``.
        helpers: Returns relay hosts that can reach the store, if this one cannot.
        list_is_complete: Returns whether the store's list of hosts is complete. After
            an outage of the store, hosts whose entries have expired need time to
            register again.
        is_isolated: Returns whether this host reaches neither the store nor another
            data centre.
        now: Clock in seconds.

    Attributes:
        hosts_listed: Whether the list of record hosts has been read from the store.
    """

    def __init__(
        self,
        cfg: RecordSettings,
        data_centre: str,
        store: Store,
        leases: LeasePool,
        peers: Peers,
        refresh_hosts: Callable[[], Awaitable[None]],
        helpers: Callable[[], list[str]] = list,
        list_is_complete: Callable[[], bool] = lambda: True,
        is_isolated: Callable[[], bool] = lambda: False,
        now: Callable[[], float] = time.monotonic,
    ) -> None:
        self.cfg = cfg
        self.data_centre = data_centre
        self._store = store
        self._leases = leases
        self._peers = peers
        self._refresh_hosts = refresh_hosts
        self._helpers = helpers
        self._list_is_complete = list_is_complete
        self._is_isolated = is_isolated
        self._now = now
        self._hosts: dict[str, PeerAddress] = {}
        self._last_heartbeat_at: dict[str, float] = {}
        self._not_accepting: set[str] = set()
        self._last_failure_at: dict[str, float] = {}
        self._late_since: dict[str, float] = {}
        self._heartbeats: dict[str, RecordHostHeartbeat] = {}
        self._marked: frozenset[str] = frozenset()
        # Apart, as reads from a store that is silent take long.
        self._host_reads = asyncio.Semaphore(cfg.reads)
        self._store_reads = asyncio.Semaphore(cfg.reads)
        self.hosts_listed = False
        peers.register_replies(FetchRecordReply)
        peers.on(ProxyKeepRequest, self._on_proxy_keep, KeepRecordReply)
        peers.on(ProxyFetchRequest, self._on_proxy_fetch, ProxyFetchReply)

    @property
    def hosts(self) -> dict[str, PeerAddress]:
        """Addresses of all known record hosts, by name."""
        return self._hosts

    @property
    def has_live_host(self) -> bool:
        """Whether at least one record host is live."""
        return any(map(self._is_live, self._last_heartbeat_at))

    def set_hosts(
        self, hosts: dict[str, PeerAddress], marked: frozenset[str] = frozenset()
    ) -> None:
        """Replaces the known record hosts by those that the store lists.

        Live hosts are kept: their entries may have expired during an outage of the
        store.

        Args:
            hosts: Addresses of the listed hosts, by name.
            marked: Hosts, listed or not, that may hold records which the store lacks.
        """
        kept = {host: a for host, a in self._hosts.items() if self._is_live(host)}
        self._hosts = {**kept, **hosts}
        self._marked = marked
        self.hosts_listed = True

    def process_heartbeat(
        self, heartbeat: RecordHostHeartbeat, age_s: float = 0.0
    ) -> bool:
        """Processes a record host's heartbeat.

        Args:
            heartbeat: The message.
            age_s: Age of the message in seconds if another host forwarded it. A
                heartbeat older than the last failed call on the host is ignored.

        Returns:
            Whether the host or its address is new.
        """
        received_at = self._now() - age_s
        if received_at <= max(
            self._last_heartbeat_at.get(heartbeat.host, -math.inf),
            self._last_failure_at.get(heartbeat.host, -math.inf),
        ):
            return False
        self._last_heartbeat_at[heartbeat.host] = received_at
        self._heartbeats[heartbeat.host] = heartbeat
        if heartbeat.accepts:
            self._not_accepting.discard(heartbeat.host)
        else:
            self._not_accepting.add(heartbeat.host)
        address = PeerAddress(
            heartbeat.host, heartbeat.data_centre, heartbeat.address, heartbeat.port
        )
        new = self._hosts.get(heartbeat.host) != address
        self._hosts[heartbeat.host] = address
        return new

    def recent_heartbeats(self) -> list[tuple[RecordHostHeartbeat, int]]:
        """Returns the latest heartbeat of each live host, with its age in ms."""
        now = self._now()
        return [
            (heartbeat, int((now - self._last_heartbeat_at[host]) * 1000))
            for host, heartbeat in self._heartbeats.items()
            if self._is_live(host)
        ]

    def silent_hosts(self) -> list[str]:
        """Returns the known hosts that are not live."""
        return [host for host in self._hosts if not self._is_live(host)]

    def live_hosts(self) -> list[str]:
        """Returns the live record hosts."""
        return [host for host in self._hosts if self._is_live(host)]

    def live_hosts_in(self, data_centre: str) -> list[str]:
        """Returns the live record hosts of a data centre, by name."""
        return sorted(
            host
            for host, address in self._hosts.items()
            if address.data_centre == data_centre and self._is_live(host)
        )

    def unlisted_holders(self) -> list[str]:
        """Returns hosts that may hold records and can't be asked for them."""
        return sorted(self._marked - self._hosts.keys())

    def can_keep(self, in_store_only: bool = False) -> bool:
        """Returns whether enough copies of a record may be made now.

        A data centre that is isolated has only the disks of its own record hosts.

        Args:
            in_store_only: Whether no other host may see the record.
        """
        if not self._is_isolated():
            return True
        return not in_store_only and self._count_accepting() >= self.cfg.copies

    def _count_accepting(self) -> int:
        accepting = self._hosts.keys() - self._not_accepting
        return sum(map(self._is_live, accepting))

    async def keep(
        self, key: str, value: bytes, ttl_s: float, in_store_only: bool = False
    ) -> None:
        """Returns once enough hosts have synced a record, or the store holds it.

        When hosts are late to reply, others and the store are asked as well; whichever
        of all replies come first are enough. Fewer copies never are, even if no more
        can be made: the disks that hold them may be lost while all else is down.
        Callers set a timeout.

        Args:
            key: Key of the record.
            value: Its value.
            ttl_s: Time for which it is kept, in seconds.
            in_store_only: Whether no other host may see it; it is then written to the
                store by this host.
        """
        calls = KeepCalls(self.cfg.copies)
        record = KeepRecord(key, value, ttl_s, [], True)
        try:
            if in_store_only:
                while not await self._keep_in_store(record, calls):
                    await asyncio.sleep(MIN_RETRY_S)
            else:
                await self._keep(record, calls)
        except asyncio.CancelledError:
            logger.bind(
                key=key, asked=calls.outcomes, silent=self.silent_hosts()
            ).warning("record not kept")
            raise
        finally:
            calls.cancel()

    async def _keep(self, record: KeepRecord, calls: KeepCalls) -> None:
        pause_s = MIN_RETRY_S
        while not await self._keep_on_hosts(record, calls):
            for host in self._helpers():
                req = ProxyKeepRequest(record.key, record.value, record.ttl_s)
                if calls.needs(host):
                    calls.start(host, self._keep_by_helper(host, req))
                if await calls.wait([host], self.cfg.help_s):
                    return
            # The wait is short, as hosts may have come back meanwhile; late replies
            # still count.
            if await self._keep_in_store(record, calls):
                return
            if calls.synced and pause_s == MIN_RETRY_S:
                logger.bind(key=record.key, hosts=calls.synced).warning(
                    "record on too few hosts"
                )
            await asyncio.sleep(pause_s)
            pause_s = min(MAX_RETRY_S, 2 * pause_s)

    async def fetch(self, key: str, in_store_only: bool = False) -> bytes | None:
        """Returns a record, or ``None`` if it certainly does not exist.

        Retries without limit while neither is certain; callers set a timeout.

        Args:
            key: Key of the record.
            in_store_only: Whether no other host may see it; no peer then reads it for
                this host. Record hosts are asked nevertheless, by its key alone: they
                may hold a record from before its route or team was bound to a region.
        """
        pause_s = MIN_RETRY_S
        while True:
            certain, value = await self._fetch_once(key)
            if value is not None or certain:
                return value
            for host in [] if in_store_only else self._fetch_helpers():
                reply = await self._call(host, ProxyFetchRequest(key))
                if reply is not None and reply.certain:
                    return reply.value if reply.found else None
            if pause_s == MIN_RETRY_S:
                logger.bind(
                    key=key,
                    settled=self._list_is_complete(),
                    holders=self.unlisted_holders(),
                ).info("record neither found nor certainly absent")
            await asyncio.sleep(pause_s)
            pause_s = min(MAX_RETRY_S, 2 * pause_s)

    async def _fetch_once(self, key: str) -> tuple[bool, bytes | None]:
        """Makes one attempt; returns whether the result is certain, and the record."""
        nearest = self._replica_hosts(key)[:1]
        for host in nearest:
            found = await self._fetch_from_host(host, key)
            if found is not None and found.found:
                return True, found.value
        if self._fetch_helpers():
            return False, None
        others = [host for host in self._hosts if host not in nearest]
        return await self._fetch_elsewhere(key, others)

    def _fetch_helpers(self) -> list[str]:
        """Returns hosts that look up records for this one if it reaches no holder."""
        return [] if self.has_live_host else self._helpers()

    async def _on_proxy_keep(
        self, sender: str, req: ProxyKeepRequest
    ) -> KeepRecordReply:
        calls = KeepCalls(self.cfg.copies)
        record = KeepRecord(req.key, req.value, req.ttl_s, [], True)
        try:
            kept = await self._keep_on_hosts(record, calls)
            kept = kept or await self._keep_in_store(record, calls)
        finally:
            calls.cancel()
        return KeepRecordReply(kept)

    async def _on_proxy_fetch(
        self, sender: str, req: ProxyFetchRequest
    ) -> ProxyFetchReply:
        certain, value = await self._fetch_once(req.key)
        return ProxyFetchReply(certain, value is not None, value or b"")

    async def _fetch_elsewhere(
        self, key: str, others: list[str]
    ) -> tuple[bool, bytes | None]:
        # Calls on the store cost money, so the record hosts, one round trip away, are
        # asked first.
        answers = await self._fetch_from(key, others)
        value = _first_found(answers)
        if value is None:
            _, value = await self._read_store(key)
        if value is not None or None in answers:
            return value is not None, value
        return await self._confirm_absent(key)

    async def _confirm_absent(self, key: str) -> tuple[bool, bytes | None]:
        """Checks that a record which was not found does not exist.

        Record hosts that this host does not know yet may hold it. A record host is
        on the store's list before it accepts records, so all hosts on a fresh list are
        asked, and then the store, to which the record may have been written meanwhile.
        A host that has stopped with records of its own is marked on the list.

        Returns:
            Whether the result is certain, and the record.
        """
        if not self._list_is_complete():
            return False, None
        try:
            async with asyncio.timeout(self.cfg.call_s):
                await self._refresh_hosts()
        except (StoreError, TimeoutError) as exc:
            logger.bind(key=key, reason=repr(exc)).info("list of record hosts not read")
            return False, None
        answers = await self._fetch_from(key, list(self._hosts))
        value = _first_found(answers)
        if value is not None:
            return True, value
        reached, value = await self._read_store(key)
        certain = reached and None not in answers and not self.unlisted_holders()
        return certain, value

    async def _fetch_from(
        self, key: str, hosts: list[str]
    ) -> list[FetchRecordReply | None]:
        calls = (self._fetch_from_host(host, key) for host in hosts)
        return await asyncio.gather(*calls)

    async def _fetch_from_host(self, host: str, key: str) -> FetchRecordReply | None:
        async with self._host_reads:
            return await self._call(host, FetchRecord(key))

    async def _read_store(self, key: str) -> tuple[bool, bytes | None]:
        try:
            async with self._store_reads:
                entry = await self._store.get(key)
        except StoreError as exc:
            logger.bind(key=key, reason=str(exc)).warning("record not read yet")
            return False, None
        return True, None if entry is None else entry.value

    async def _keep_on_hosts(self, record: KeepRecord, calls: KeepCalls) -> bool:
        """Asks hosts for copies; returns whether there are enough.

        Hosts whose replies are late are not waited for, but their copies count.
        """
        hosts = self._replica_hosts(record.key)
        asked = []
        for i, host in enumerate(hosts):
            partners = [other for other in hosts if other != host]
            req = record._replace(partners=partners, writes_first=not i)
            if calls.needs(host):
                calls.start(host, self._keep_on(host, req))
                asked.append(host)
        if await self._wait_for_prompt(asked, calls):
            return True
        for host in self._live_hosts(record.key):
            if host not in hosts and calls.needs(host):
                calls.start(host, self._keep_on(host, record))
                if await self._wait_for_prompt([host], calls):
                    return True
        return False

    async def _wait_for_prompt(self, asked: list[str], calls: KeepCalls) -> bool:
        """Waits for hosts of which a prompt reply is expected."""
        prompt = [host for host in asked if not self._is_late(host)]
        done = await calls.wait(prompt, self.cfg.call_s)
        if not done:
            self._note_late(calls)
        return done

    def _note_late(self, calls: KeepCalls) -> None:
        """Counts hosts that have not replied as late, or as lost if they are silent."""
        now = self._now()
        silent_since = now - MISSED_HEARTBEATS * self.cfg.here_interval_s
        for host in calls.under_way:
            if host not in self._hosts:
                continue
            if self._last_heartbeat_at.get(host, -math.inf) >= silent_since:
                self._late_since[host] = now
                calls.outcomes[host] = LATE
            else:
                # Once only: heartbeats that are forwarded late must count again.
                if host in self._last_heartbeat_at:
                    self._mark_lost(host)
                calls.outcomes[host] = NOT_REACHED

    def _mark_lost(self, host: str) -> None:
        self._last_heartbeat_at.pop(host, None)
        self._last_failure_at[host] = self._now()

    async def _keep_on(self, host: str, req: KeepRecord) -> str:
        kept = await self._call(host, req)
        if kept is None:
            return NOT_REACHED
        self._late_since.pop(host, None)
        return SYNCED if kept.synced else NOT_SYNCED

    async def _keep_by_helper(self, host: str, req: ProxyKeepRequest) -> str:
        kept = await self._call(host, req)
        if kept is None:
            return NOT_REACHED
        return KEPT if kept.synced else NOT_SYNCED

    async def _keep_in_store(self, record: KeepRecord, calls: KeepCalls) -> bool:
        if calls.needs(STORE):
            calls.start(STORE, self._write_to_store(record))
        return await calls.wait(calls.under_way, self.cfg.call_s)

    async def _write_to_store(self, record: KeepRecord) -> str:
        lease = 0
        try:
            async with asyncio.timeout(self.cfg.last_copy_s):
                lease = await self._leases.get(record.ttl_s)
                await self._store.put_many([StorePut(record.key, record.value, lease)])
        except LeaseLost:
            self._leases.drop(lease)
            return NOT_REACHED
        except (StoreError, TimeoutError) as exc:
            logger.bind(key=record.key, reason=repr(exc)).warning(
                "record not stored yet"
            )
            return NOT_REACHED
        return KEPT

    async def _call(self, host: str, req: RecordRequest) -> Any:
        try:
            return await self._peers.call_with_deadline(host, req, self._limit_s(req))
        except PeerError as exc:
            self._mark_lost(host)
            logger.bind(host=host, key=req.key, reason=repr(exc)).info(
                "record host not reached"
            )
            return None

    def _limit_s(self, req: RecordRequest) -> float:
        if isinstance(req, KeepRecord):
            return self.cfg.late_s
        by_helper = isinstance(req, ProxyKeepRequest | ProxyFetchRequest)
        return self.cfg.help_s if by_helper else self.cfg.call_s

    def _replica_hosts(self, key: str) -> list[str]:
        """Returns the hosts for a record, in different data centres if possible.

        The first one is in this data centre if possible, where the record is most
        likely to be read; readers elsewhere ask a host of their own first, then all.
        Hosts that were late to reply since their last heartbeat are left out if there
        are enough others.
        """
        ranked = self._live_hosts(key)
        prompt = [host for host in ranked if not self._is_late(host)]
        if len(prompt) >= self.cfg.copies:
            ranked = prompt
        ranked.sort(key=lambda h: self._hosts[h].data_centre != self.data_centre)
        data_centres: set[str] = set()
        per_data_centre: list[str] = []
        for host in ranked:
            if self._hosts[host].data_centre not in data_centres:
                data_centres.add(self._hosts[host].data_centre)
                per_data_centre.append(host)
        others = [host for host in ranked if host not in per_data_centre]
        return [*per_data_centre, *others][: self.cfg.copies]

    def _live_hosts(self, key: str) -> list[str]:
        """Returns the live hosts that accept records, in rendezvous order."""
        return [
            host
            for host in rendezvous(key, self._hosts)
            if self._is_live(host) and host not in self._not_accepting
        ]

    def _is_late(self, host: str) -> bool:
        late_since = self._late_since.get(host, -math.inf)
        return late_since > self._last_heartbeat_at.get(host, -math.inf)

    def _is_live(self, host: str) -> bool:
        """Whether the last heartbeat of a host is at most ``cfg.silent_s`` old."""
        return self._last_heartbeat_at.get(host, 0.0) >= self._now() - self.cfg.silent_s


def _first_found(answers: list[FetchRecordReply | None]) -> bytes | None:
    """Returns the record from the first answer that holds it, if any."""
    for answer in answers:
        if answer is not None and answer.found:
            return answer.value
    return None
