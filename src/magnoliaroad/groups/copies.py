"""Stores the records of groups and handles messages from their owners."""

import asyncio

from magnoliaroad.groups.body_store import BodyStore
from magnoliaroad.groups.entry import GroupEntry
from magnoliaroad.groups.group_records import GroupRecords
from magnoliaroad.groups.messages import (
    CopyAdopt,
    CopyAppend,
    CopyDelete,
    CopyFetch,
    CopyPage,
    CopyReply,
    CopyStage,
)
from magnoliaroad.groups.pages import pages_of
from magnoliaroad.groups.stall import StallDetector
from magnoliaroad.peers import Peers


class CopyStore:
    """Stores the records of each group that this host owns or copies.

    Args:
        peers: Registers the message handlers.
        stall_detector: Decides whether this host may confirm records.
        body_store: Stores the bodies of records.
    """

    def __init__(
        self, peers: Peers, stall_detector: StallDetector, body_store: BodyStore
    ) -> None:
        self.stall_detector = stall_detector
        self._body_store = body_store
        self._records_by_group: dict[str, GroupRecords] = {}
        self._pages_by_group: dict[str, tuple[int, list[tuple[GroupEntry, ...]]]] = {}
        peers.on(CopyAppend, self._on_append, reply=CopyReply)
        peers.on(CopyFetch, self._on_fetch, reply=CopyPage)
        peers.on(CopyAdopt, self._on_adopt, reply=CopyReply)
        peers.on(CopyStage, self._on_stage, reply=CopyReply)
        peers.on(CopyDelete, self._on_delete)

    @property
    def size(self) -> int:
        """Total size of the bodies of all records, in bytes."""
        return sum(records.size for records in self._records_by_group.values())

    def get_or_create(self, group: str) -> GroupRecords:
        """Returns the records of ``group``, creating an empty set if there is none."""
        records = self._records_by_group.get(group)
        if records is None:
            records = self._records_by_group[group] = GroupRecords(
                group, self._body_store
            )
        return records

    def get(self, group: str) -> GroupRecords | None:
        """Returns the records of ``group`` or ``None``."""
        return self._records_by_group.get(group)

    def group_names(self) -> list[str]:
        """Returns the names of the groups stored on this host."""
        return list(self._records_by_group)

    def drop(self, group: str) -> None:
        """Deletes the records of a group that other hosts now hold."""
        records = self._records_by_group.pop(group, None)
        if records is not None:
            records.replace([])
        self._pages_by_group.pop(group, None)

    def read_page(self, fetch: CopyFetch) -> CopyPage:
        """Promises the fencing token of ``fetch`` and returns a page of records."""
        records = self.get_or_create(fetch.group)
        if not records.promise(fetch.fence):
            return CopyPage(False, records.complete_fence, (), False)
        fence, pages = self._pages_by_group.get(fetch.group, (0, []))
        if fence != fetch.fence or fetch.page == 0:
            pages = list(pages_of(records.entries(), fetch.page_bytes))
            self._pages_by_group[fetch.group] = (fetch.fence, pages)
        last = fetch.page >= len(pages) - 1
        entries = pages[fetch.page] if fetch.page < len(pages) else ()
        if last:
            self._pages_by_group.pop(fetch.group, None)
        return CopyPage(True, records.complete_fence, entries, not last)

    async def _on_append(self, sender: str, message: CopyAppend) -> CopyReply:
        records = self.get_or_create(message.entry.group)
        allowed = self.stall_detector.may_confirm(asyncio.get_running_loop().time())
        accepted = allowed and records.append(message.entry)
        return CopyReply(accepted, records.promised_fence)

    async def _on_fetch(self, sender: str, message: CopyFetch) -> CopyPage:
        return self.read_page(message)

    async def _on_adopt(self, sender: str, message: CopyAdopt) -> CopyReply:
        records = self.get_or_create(message.group)
        accepted = records.adopt(message.fence, message.digest)
        return CopyReply(accepted, records.promised_fence)

    async def _on_stage(self, sender: str, message: CopyStage) -> CopyReply:
        records = self.get_or_create(message.group)
        if message.first:
            accepted = records.start_staging(message.fence)
        else:
            accepted = records.stage(message.fence, list(message.entries))
        if accepted and message.last:
            accepted = records.commit(message.fence)
        return CopyReply(accepted, records.promised_fence)

    async def _on_delete(self, sender: str, message: CopyDelete) -> None:
        records = self.get(message.group)
        if records is not None:
            records.delete(message.kind, message.key)
