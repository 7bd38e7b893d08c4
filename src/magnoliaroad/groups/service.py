"""Takes over groups for this host and replicates their records."""

import asyncio
import pathlib
import time
from collections import defaultdict
from collections.abc import Callable

import xxhash
from loguru import logger
from mode import Service
from typing_extensions import override

from magnoliaroad.background import background_task
from magnoliaroad.groups import metrics
from magnoliaroad.groups.body_store import FileBodyStore, MemoryBodyStore
from magnoliaroad.groups.copies import CopyStore
from magnoliaroad.groups.entry import GroupEntry
from magnoliaroad.groups.errors import NotCopied, NotOwner
from magnoliaroad.groups.interface import Groups, OwnedListener
from magnoliaroad.groups.member import Member, member_of
from magnoliaroad.groups.messages import CopyDelete, TablesReply, TablesRequest
from magnoliaroad.groups.owner import Owner
from magnoliaroad.groups.plan import TablePlanner
from magnoliaroad.groups.prober import HostProber
from magnoliaroad.groups.sender import CopySender
from magnoliaroad.groups.settings import GroupSettings
from magnoliaroad.groups.stall import StallDetector
from magnoliaroad.groups.table import (
    FLEET,
    GroupTable,
    group_name,
    pack_table,
    split_group,
    unpack_table,
)
from magnoliaroad.groups.table_cache import TableCache
from magnoliaroad.groups.takeover import Takeover
from magnoliaroad.groups.view import GroupView
from magnoliaroad.membership import HostRecord, MembershipService
from magnoliaroad.peers import PeerError, Peers
from magnoliaroad.rendezvous import highest_ranked, rendezvous
from magnoliaroad.store import Store, StoreError

RETRY_S = 0.5
COPIES_CHECK_S = 0.05


class GroupService(Service, Groups):
    """Manages the groups that this host owns or copies.

    Args:
        cfg: Settings of groups.
        membership: Membership view with this host and the others.
        store: Holds the group tables.
        peers: Sends messages to other hosts.
        clock: Returns monotonic time in seconds.
        folder: Folder for the bodies of records; ``None`` keeps them in memory.
    """

    def __init__(
        self,
        cfg: GroupSettings,
        membership: MembershipService,
        store: Store,
        peers: Peers,
        clock: Callable[[], float] = time.monotonic,
        folder: pathlib.Path | None = None,
    ) -> None:
        super().__init__()
        self.cfg = cfg
        self._now = clock
        self.tables = TableCache(store)
        self.stall_detector = StallDetector(cfg.stall_limit_s)
        self._body_store = (
            MemoryBodyStore() if folder is None else FileBodyStore(folder)
        )
        self._record_limit_bytes = (
            cfg.memory_limit_bytes if folder is None else cfg.disk_limit_bytes
        )
        self.copy_store = CopyStore(peers, self.stall_detector, self._body_store)
        self.sender = CopySender(cfg, peers, self.copy_store)
        self.prober = HostProber(cfg, membership, peers)
        self._takeover = Takeover(cfg, membership, self.copy_store, self.sender)
        self._membership = membership
        self._peers = peers
        self._listeners: dict[str, list[OwnedListener]] = defaultdict(list)
        self._owned: dict[str, GroupView] = {}
        self._waiting_since: dict[str, float] = {}
        self._takeovers_ready: dict[str, tuple[GroupView, tuple[Member, ...]]] = {}
        # By domain: the revision and hosts for which planning changed nothing.
        self._unchanged_plans: dict[str, tuple[int, list[HostRecord]]] = {}
        # Revisions of the tables that were applied completely.
        self._applied_revisions: dict[str, int] = {}
        self._apply_lock = asyncio.Lock()
        peers.on(TablesRequest, self._on_tables_request, reply=TablesReply)
        membership.on_change(self._hold_back_lone_groups)

    @override
    def group_of(self, key: str, data_centre: str = "") -> str:
        domain = data_centre or FLEET
        count = len(self.tables.get(domain).views) or self.cfg.group_count
        return group_name(domain, xxhash.xxh3_64_intdigest(key.encode()) % count)

    @override
    def owner_of(self, group: str) -> Owner | None:
        view = self._view(group)
        return None if view is None else Owner(view.owner.host, view.fence)

    @override
    def fence(self, group: str) -> int | None:
        view = self._owned.get(group)
        records = self.copy_store.get(group)
        if view is None or records is None or records.promised_fence > view.fence:
            return None
        if not view.copies and not self.stall_detector.may_confirm(self._now()):
            return None
        return view.fence

    @override
    async def append(self, entry: GroupEntry) -> None:
        fence = self.fence(entry.group)
        if fence is None or fence != entry.fence:
            raise NotOwner(f"group {entry.group!r}, fence {entry.fence}")
        view = self._owned[entry.group]
        self.copy_store.get_or_create(entry.group).put(entry)
        if not await self.sender.append(entry, view):
            metrics.NOT_COPIED.inc({})
            raise NotCopied(f"record {entry.key!r} of group {entry.group!r}")

    @override
    def entries(self, group: str, kind: str) -> list[GroupEntry]:
        records = self.copy_store.get(group)
        return [] if records is None else records.entries(kind)

    @override
    def body(self, group: str, kind: str, key: str, sequence: int) -> bytes:
        return self.copy_store.get_or_create(group).body(kind, key, sequence)

    @override
    def delete_records(self, group: str, kind: str, key: str) -> None:
        records = self.copy_store.get(group)
        view = self._owned.get(group)
        if records is None or view is None:
            return
        records.delete(kind, key)
        for member in view.copies:
            self._peers.send(member.host, CopyDelete(group, kind, key))

    @override
    def has_capacity(self) -> bool:
        return self.copy_store.size < self._record_limit_bytes

    @override
    def on_owned(self, kind: str, listener: OwnedListener) -> None:
        self._listeners[kind].append(listener)
        for group in self._owned:
            listener(group, self.entries(group, kind))

    async def on_start(self) -> None:
        """Loads the tables from the store or, if it is down, from a peer."""
        await self.refresh()

    async def on_shutdown(self) -> None:
        """Closes the record files after all tasks have stopped."""
        self._body_store.close()

    async def refresh(self) -> None:
        """Reads the tables and applies them."""
        self._hold_back_lone_groups()
        requested_at = self._now()
        try:
            await self.tables.read()
            self.stall_detector.record_table_read(requested_at)
        except StoreError as exc:
            logger.bind(reason=str(exc)).debug("cannot read group tables")
            await self._fetch_tables_from_peer()
        await self.apply_tables()

    async def apply_tables(self) -> None:
        """Releases groups this host lost and takes over those assigned to it."""
        async with self._apply_lock:
            revisions = self.tables.revisions()
            if revisions == self._applied_revisions and not self._waiting_since:
                return
            self._release_lost_groups()
            pending = self._pending()
            await asyncio.gather(*(self._take_over(group) for group in pending))
            await self._activate(pending)
            self._applied_revisions = revisions

    async def plan(self) -> None:
        """Plans and writes the tables for which this host is the planner."""
        for domain in (self._membership.record.data_centre, FLEET):
            await self._plan(domain)

    async def repair(self) -> None:
        """Synchronises copies that may lack records."""
        unresponsive: set[Member] = set()
        for group, member in sorted(self.sender.behind):
            view = self._owned.get(group)
            if view is None or member not in view.copies:
                self.sender.behind.discard((group, member))
            elif member not in unresponsive and not await self.sender.synchronise(
                group, view.fence, member, self.cfg.page_pause_s
            ):
                unresponsive.add(member)

    async def run_maintenance(self) -> None:
        """Runs one round of planning and takeovers."""
        if not self.stall_detector.may_confirm(self._now()):
            await self.refresh()
        self._hold_back_lone_groups()
        await self.plan()
        await self.apply_tables()
        self._update_metrics()

    async def wait_for_copies(self, limit_s: float) -> None:
        """Waits at most ``limit_s`` until no group has one live holder only.

        Does not wait where no other host could hold copies.
        """
        deadline = self._now() + limit_s
        while self._lacks_copies():
            if self._now() >= deadline:
                logger.bind(limit_s=limit_s).warning("groups still lack copies")
                return
            await asyncio.sleep(COPIES_CHECK_S)

    async def wait_for_handover(self, limit_s: float) -> None:
        """Waits at most ``limit_s`` until other hosts hold this host's groups."""
        deadline = self._now() + limit_s
        while self._now() < deadline and self._holds_movable_groups():
            await asyncio.sleep(self.cfg.poll_interval_s)

    @property
    def waiting_since(self) -> dict[str, float]:
        """Time since which groups assigned to this host await takeover, by group."""
        return self._waiting_since

    @background_task
    async def _watch(self) -> None:
        revision = 0
        while not self.should_stop:
            try:
                batch = await self.tables.watch(revision)
            except StoreError:
                await asyncio.sleep(RETRY_S)
                continue
            if batch.changed:
                await self.apply_tables()
            revision = batch.revision

    @background_task
    async def _maintain(self) -> None:
        while not self.should_stop:
            await asyncio.sleep(self.cfg.poll_interval_s)
            await self.run_maintenance()

    @background_task
    async def _repair(self) -> None:
        while not self.should_stop:
            await asyncio.sleep(self.cfg.poll_interval_s)
            await self.repair()

    @background_task
    async def _probe(self) -> None:
        while not self.should_stop:
            await asyncio.sleep(self.cfg.probe_interval_s)
            await self.prober.probe()

    @property
    def _this_member(self) -> Member:
        return member_of(self._membership.record)

    def _view(self, group: str) -> GroupView | None:
        domain, number = split_group(group)
        views = self.tables.get(domain).views
        return views[number] if number < len(views) else None

    async def _plan(self, domain: str) -> None:
        table = self.tables.get(domain)
        alive = self.prober.alive()
        if self._unchanged_plans.get(domain) == (table.revision, alive):
            return
        planned = table
        if self._is_planner(domain, alive):
            planned = TablePlanner(domain, alive, self.cfg).next_table(table)
        if planned is table:
            self._unchanged_plans[domain] = (table.revision, alive)
            return
        if await self.prober.any_unresponsive(_added_holders(table, planned)):
            return
        if await self.prober.any_running(
            self._removed_unlisted_members(table, planned)
        ):
            return
        try:
            written = await self.tables.write(planned)
        except StoreError as exc:
            logger.bind(domain=domain, reason=str(exc)).debug(
                "cannot write group table"
            )
            return
        if written is not None:
            logger.bind(
                domain=domain,
                revision=written.revision,
                changed=_count_changed_views(table, written),
            ).info("groups planned")

    def _is_planner(self, domain: str, alive: list[HostRecord]) -> bool:
        """Whether this host may write the table.

        That is the best ranked host of the domain, and any host that suspects
        a listed host.
        """
        hosts = self._membership.hosts
        names = [
            record.host
            for record in alive
            if domain in (FLEET, record.data_centre) and not record.draining
        ]
        planner = highest_ranked(f"planner/{domain}", names)
        suspects_listed_host = any(name in hosts for name in self.prober.suspected())
        return planner == self._this_member.host or suspects_listed_host

    def _removed_unlisted_members(
        self, old: GroupTable, new: GroupTable
    ) -> set[Member]:
        """Returns unlisted members that would lose a group."""
        listed = {member_of(record) for record in self._membership.hosts.values()}
        return _added_holders(new, old) - listed

    def _holds_movable_groups(self) -> bool:
        """Whether this host holds a group that another host could own."""
        return any(
            self._this_member in view.holders or self._this_member in view.previous
            for table in self.tables.all()
            if self._has_other_owners(table.domain)
            for view in table.views
        )

    def _has_other_owners(self, domain: str) -> bool:
        return any(
            domain in (FLEET, record.data_centre)
            for record in self.prober.alive()
            if not record.draining and record.host != self._this_member.host
        )

    def _release_lost_groups(self) -> None:
        for group, view in list(self._owned.items()):
            if self._view(group) != view:
                del self._owned[group]
                self.sender.discard_behind(group)
        for group in self.copy_store.group_names():
            view = self._view(group)
            if view and view.active and self._this_member not in view.holders:
                self.copy_store.drop(group)

    def _hold_back_lone_groups(self) -> None:
        """Stops acting for groups without copies while this host must not do so."""
        if self._may_act_alone():
            return
        lone = [group for group, view in self._owned.items() if not view.copies]
        for group in lone:
            del self._owned[group]
            self._waiting_since.setdefault(group, self._now())
        if lone:
            logger.bind(groups=len(lone)).info("groups without copies wait")

    def _may_act_alone(self) -> bool:
        """Whether this host may act for groups without copies.

        After a stall others may own them, and programs drop their state meanwhile, so
        these groups are gained anew once the tables were read.
        """
        is_current = self.stall_detector.may_confirm(self._now())
        return is_current and not self._can_gain_copies()

    def _lacks_copies(self) -> bool:
        """Whether some group has one live holder only, although it could have more."""
        domains = (self._membership.record.data_centre, FLEET)
        return self._can_gain_copies() and any(
            self._has_lone_holder(self.tables.get(domain)) for domain in domains
        )

    def _has_lone_holder(self, table: GroupTable) -> bool:
        """Whether one live host alone has a group of ``table`` or may yet plan it."""
        alive = {member_of(record) for record in self.prober.alive()}
        return not table.views or any(
            len(view.record_holders) == 1 and view.record_holders[0] in alive
            for view in table.views
        )

    def _can_gain_copies(self) -> bool:
        """Whether another host could hold copies and the store lets them be planned."""
        if not self.cfg.copies or not self.tables.is_store_reachable:
            return False
        return any(
            not record.draining and record.host != self._this_member.host
            for record in self.prober.alive()
        )

    def _pending(self) -> list[str]:
        pending = [
            group_name(table.domain, number)
            for table in self.tables.all()
            for number, view in enumerate(table.views)
            if view.owner == self._this_member
            and group_name(table.domain, number) not in self._owned
        ]
        now = self._now()
        self._waiting_since = {
            group: self._waiting_since.get(group, now) for group in pending
        }
        self._takeovers_ready = {}
        return pending

    async def _take_over(self, group: str) -> None:
        view = self._view(group)
        if view.active:
            self._resume_ownership(group, view)
            return
        holders = await self._takeover.run(group, view)
        if holders is not None:
            self._takeovers_ready[group] = (view, holders)

    def _resume_ownership(self, group: str, view: GroupView) -> None:
        """Starts owning a view that is active although its write seemed to fail.

        The store may apply a write whose reply is lost.
        """
        if self.copy_store.get_or_create(group).complete_fence == view.fence:
            self._start_owning(group, view)

    async def _activate(self, groups: list[str]) -> None:
        """Marks groups with finished takeovers as active, in one write per domain."""
        for domain in {split_group(group)[0] for group in self._takeovers_ready}:
            table = self.tables.get(domain)
            activated = {}
            for group, (view, holders) in self._takeovers_ready.items():
                number = split_group(group)[1]
                if group.startswith(f"{domain}/") and self._view(group) == view:
                    activated[group] = view.activated(holders)
                    table = table.with_view(number, activated[group])
            if activated:
                await self._write_active(table, activated)

    async def _write_active(
        self, table: GroupTable, activated: dict[str, GroupView]
    ) -> None:
        try:
            written = await self.tables.write(table)
        except StoreError as exc:
            logger.bind(domain=table.domain, reason=str(exc)).warning(
                "cannot write completed takeover"
            )
            return
        if written is None:
            return
        for group, view in activated.items():
            self._start_owning(group, view)

    def _start_owning(self, group: str, view: GroupView) -> None:
        if not view.copies and not self._may_act_alone():
            return
        self._owned[group] = view
        since = self._waiting_since.pop(group, self._now())
        waited_s = self._now() - since
        metrics.TAKEOVERS.inc({})
        metrics.TAKEOVER_SECONDS.observe({}, waited_s)
        logger.bind(
            group=group,
            fence=view.fence,
            holders=[member.host for member in view.holders],
            waited_s=round(waited_s, 3),
        ).info("group owned")
        for kind, listeners in self._listeners.items():
            for listener in listeners:
                listener(group, self.entries(group, kind))

    def _update_metrics(self) -> None:
        metrics.OWNED.set({}, len(self._owned))
        metrics.WAITING.set({}, len(self._waiting_since))
        metrics.COPIED_BYTES.set({}, self.copy_store.size)
        metrics.BEHIND.set({}, len(self.sender.behind))

    async def _fetch_tables_from_peer(self) -> None:
        """Merges the tables of the best ranked peer."""
        peer_hosts = [address.host for address in self._peers.addresses()]
        for host in rendezvous(self._this_member.host, peer_hosts)[:1]:
            try:
                reply = await self._peers.call(host, TablesRequest())
            except PeerError:
                continue
            for domain, revision, data in reply.tables:
                self.tables.update_if_newer(unpack_table(domain, revision, data))

    async def _on_tables_request(
        self, sender: str, message: TablesRequest
    ) -> TablesReply:
        return TablesReply(
            tuple((t.domain, t.revision, pack_table(t)) for t in self.tables.all())
        )


def _added_holders(old: GroupTable, new: GroupTable) -> set[Member]:
    """Returns the members that hold a group in ``new`` but not in ``old``."""
    added = set()
    for number, view in enumerate(new.views):
        before = old.views[number].holders if old.views else ()
        added |= set(view.holders) - set(before)
    return added


def _count_changed_views(old: GroupTable, new: GroupTable) -> int:
    if not old.views:
        return len(new.views)
    return sum(a != b for a, b in zip(old.views, new.views, strict=True))
