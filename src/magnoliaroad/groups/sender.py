"""Sends the records of a group from its owner to its copies."""

import asyncio

from magnoliaroad.groups.copies import CopyStore
from magnoliaroad.groups.entry import GroupEntry
from magnoliaroad.groups.member import Member
from magnoliaroad.groups.messages import (
    CopyAdopt,
    CopyAppend,
    CopyFetch,
    CopyPage,
    CopyReply,
    CopyStage,
)
from magnoliaroad.groups.pages import pages_of
from magnoliaroad.groups.quorum_read import QuorumRead
from magnoliaroad.groups.settings import GroupSettings
from magnoliaroad.groups.view import GroupView, write_quorum
from magnoliaroad.peers import PeerError, Peers

NO_REPLY = CopyReply(False, 0)


class CopySender:
    """Replicates the records of owned groups to their copies.

    Attributes:
        behind: Copies that may lack records, as ``(group, member)``.
    """

    def __init__(self, cfg: GroupSettings, peers: Peers, copy_store: CopyStore) -> None:
        self.cfg = cfg
        self.behind: set[tuple[str, Member]] = set()
        self._peers = peers
        self._copy_store = copy_store
        self._tasks: set[asyncio.Task[bool]] = set()

    async def append(self, entry: GroupEntry, view: GroupView) -> bool:
        """Returns whether enough copies confirmed ``entry``."""
        needed = write_quorum(len(view.holders)) - 1
        if needed == 0:
            return True
        calls = [self._start_append(entry, member) for member in view.copies]
        for call in asyncio.as_completed(calls):
            needed -= await call
            if needed == 0:
                return True
        return False

    async def synchronise(
        self, group: str, fence: int, member: Member, pause_s: float = 0.0
    ) -> bool:
        """Makes the records of ``member`` equal to the local ones."""
        self.behind.discard((group, member))
        records = self._copy_store.get_or_create(group)
        adopt = CopyAdopt(group, fence, records.digest)
        reply = await self._call(member, adopt)
        answered = reply is not NO_REPLY
        if reply.accepted or (
            answered and await self._replace_records(group, fence, member, pause_s)
        ):
            return True
        self.behind.add((group, member))
        return False

    async def fetch_records(self, group: str, quorum_read: QuorumRead) -> None:
        """Fetches records of outstanding holders until ``quorum_read`` is complete."""
        fetches = [
            asyncio.create_task(self._fetch(group, quorum_read, member))
            for member in quorum_read.outstanding
        ]
        for fetch in asyncio.as_completed(fetches):
            await fetch
            if quorum_read.complete:
                break
        for task in fetches:
            task.cancel()

    def discard_behind(self, group: str) -> None:
        """Stops tracking the copies of ``group`` that may lack records."""
        self.behind = {pair for pair in self.behind if pair[0] != group}

    def _start_append(self, entry: GroupEntry, member: Member) -> asyncio.Task[bool]:
        task = asyncio.create_task(self._append(entry, member))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def _append(self, entry: GroupEntry, member: Member) -> bool:
        reply = await self._call(member, CopyAppend(entry))
        if not reply.accepted and reply.promised_fence <= entry.fence:
            self.behind.add((entry.group, member))
        return reply.accepted

    async def _replace_records(
        self, group: str, fence: int, member: Member, pause_s: float
    ) -> bool:
        started = await self._call(member, CopyStage(group, fence, first=True))
        if not started.accepted:
            return False
        entries = self._copy_store.get_or_create(group).entries()
        for page in pages_of(entries, self.cfg.page_bytes):
            reply = await self._call(member, CopyStage(group, fence, page))
            if not reply.accepted:
                return False
            if pause_s:
                await asyncio.sleep(pause_s)
        return (await self._call(member, CopyStage(group, fence, last=True))).accepted

    async def _fetch(self, group: str, quorum_read: QuorumRead, member: Member) -> None:
        entries: list[GroupEntry] = []
        page = CopyPage(True, 0, (), True)
        number = 0
        while page.more:
            fetch = CopyFetch(
                group, quorum_read.view.fence, number, self.cfg.page_bytes
            )
            found = await self._fetch_page(member, fetch)
            if found is None or not found.accepted:
                return
            page = found
            entries.extend(page.entries)
            number += 1
        quorum_read.add_reply(member, page.complete_fence, entries)

    async def _fetch_page(self, member: Member, fetch: CopyFetch) -> CopyPage | None:
        try:
            return await self._peers.call(member.host, fetch, self.cfg.copy_timeout_s)
        except PeerError:
            return None

    async def _call(
        self, member: Member, message: CopyAppend | CopyAdopt | CopyStage
    ) -> CopyReply:
        try:
            return await self._peers.call(member.host, message, self.cfg.copy_timeout_s)
        except PeerError:
            return NO_REPLY
