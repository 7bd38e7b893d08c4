"""Takes over groups for this host."""

import asyncio

from magnoliaroad.groups.absence import AbsenceTracker
from magnoliaroad.groups.copies import CopyStore
from magnoliaroad.groups.member import Member
from magnoliaroad.groups.messages import CopyFetch
from magnoliaroad.groups.quorum_read import QuorumRead
from magnoliaroad.groups.sender import CopySender
from magnoliaroad.groups.settings import GroupSettings
from magnoliaroad.groups.table import FLEET, split_group
from magnoliaroad.groups.view import GroupView
from magnoliaroad.membership import MembershipService


class Takeover:
    """Prepares a new view of a group for activation.

    First the previous holders are fenced and their records are collected, then
    the records are copied, and only then may the view become active.
    """

    def __init__(
        self,
        cfg: GroupSettings,
        membership: MembershipService,
        copy_store: CopyStore,
        sender: CopySender,
    ) -> None:
        self.cfg = cfg
        self._membership = membership
        self._copy_store = copy_store
        self._sender = sender
        self._absence_tracker = AbsenceTracker()

    async def run(self, group: str, view: GroupView) -> tuple[Member, ...] | None:
        """Returns the holders that have all records; ``None`` if they are too few."""
        quorum_read = QuorumRead(view)
        self._read_local_records(group, quorum_read)
        await self._sender.fetch_records(group, quorum_read)
        if not quorum_read.complete:
            self._mark_lost_holders(group, quorum_read)
        if not quorum_read.complete:
            return None
        records = self._copy_store.get_or_create(group)
        if not records.promise(view.fence):
            return None
        records.replace(quorum_read.entries())
        records.complete_fence = view.fence
        return await self._copy_records(group, view)

    def _read_local_records(self, group: str, quorum_read: QuorumRead) -> None:
        view = quorum_read.view
        if view.owner not in view.previous:
            return
        fetch = CopyFetch(group, view.fence, 0, self.cfg.page_bytes)
        if self._copy_store.read_page(fetch).accepted:
            records = self._copy_store.get_or_create(group)
            quorum_read.add_reply(view.owner, records.complete_fence, records.entries())

    def _mark_lost_holders(self, group: str, quorum_read: QuorumRead) -> None:
        domain, _ = split_group(group)
        limit_s = None if domain == FLEET else self.cfg.abandon_after_s
        now = asyncio.get_running_loop().time()
        for member in quorum_read.outstanding:
            if self._absence_tracker.is_lost(
                member, self._membership.hosts, now, limit_s
            ):
                quorum_read.mark_lost(member)

    async def _copy_records(
        self, group: str, view: GroupView
    ) -> tuple[Member, ...] | None:
        results = await asyncio.gather(
            *(self._sender.synchronise(group, view.fence, m) for m in view.copies)
        )
        copied = [m for m, ok in zip(view.copies, results, strict=True) if ok]
        if view.copies and not copied:
            return None
        return (view.owner, *copied)
