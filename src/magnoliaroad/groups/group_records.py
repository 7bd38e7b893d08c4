"""The records of a group on one host."""

from typing import NamedTuple

import xxhash

from magnoliaroad.groups.body_store import BodyStore, MemoryBodyStore, Span
from magnoliaroad.groups.entry import GroupEntry


class RecordPosition(NamedTuple):
    """Identity of a record within its group."""

    kind: str
    key: str
    sequence: int


def position_of(entry: GroupEntry) -> RecordPosition:
    """Returns the position of ``entry``."""
    return RecordPosition(entry.kind, entry.key, entry.sequence)


class StoredRecord(NamedTuple):
    """A record whose body is in the body store.

    Attributes:
        fence: Fencing token of the owner that wrote the record.
        size: Size of the body in bytes.
        digest: Digest of the whole record.
        body: Location of the body.
    """

    fence: int
    size: int
    digest: int
    body: bytes | Span


class GroupRecords:
    """Records of a group and the fencing tokens that guard them.

    Args:
        group: Name of the group.
        body_store: Stores the bodies.

    Attributes:
        promised_fence: Lowest fencing token whose records are accepted.
        complete_fence: Fencing token under which the records are complete; 0
            if they never were.
        size: Total size of the bodies in bytes.
    """

    def __init__(self, group: str = "", body_store: BodyStore | None = None) -> None:
        self.group = group
        self.promised_fence = 0
        self.complete_fence = 0
        self.size = 0
        self._body_store = body_store or MemoryBodyStore()
        self._entries: dict[tuple[str, str], dict[int, StoredRecord]] = {}
        self._staged: dict[RecordPosition, StoredRecord] | None = None
        self._staged_fence = 0
        self._digest = 0

    @property
    def digest(self) -> int:
        """Digest of all records, independent of their order."""
        return self._digest

    def promise(self, fence: int) -> bool:
        """Refuses lower fencing tokens from now on.

        Returns ``False`` if a higher token was promised already.
        """
        if fence < self.promised_fence:
            return False
        self.promised_fence = fence
        return True

    def append(self, entry: GroupEntry) -> bool:
        """Stores ``entry`` if its writer still owns the group."""
        if entry.fence < self.promised_fence or entry.fence != self.complete_fence:
            return False
        self.put(entry)
        return True

    def put(self, entry: GroupEntry) -> None:
        """Stores ``entry`` unless its position has a record with a higher fence."""
        position = position_of(entry)
        digest = _entry_digest(entry)
        if self._staged is not None:
            self._stage_entry(position, entry, digest)
        old = self._entries.get(position[:2], {}).get(entry.sequence)
        if old is not None and (old.fence > entry.fence or old.digest == digest):
            return
        self._insert(position, self._store_body(entry, digest))

    def delete(self, kind: str, key: str) -> None:
        """Deletes the records of ``key``."""
        for sequence in list(self._entries.get((kind, key), ())):
            position = RecordPosition(kind, key, sequence)
            self._remove(position)
            if self._staged is not None and position in self._staged:
                self._body_store.drop(self._staged.pop(position).body)

    def body(self, kind: str, key: str, sequence: int) -> bytes:
        """Returns the body of a record.

        Raises:
            KeyError: There is no such record.
        """
        return self._body_store.get(self._entries[kind, key][sequence].body)

    def entries(self, kind: str | None = None) -> list[GroupEntry]:
        """Returns the records grouped by key, in order of their sequence."""
        return [
            GroupEntry(
                self.group,
                entry_kind,
                key,
                sequence,
                records[sequence].fence,
                self._body_store.get(records[sequence].body),
            )
            for (entry_kind, key), records in self._entries.items()
            if kind in (None, entry_kind)
            for sequence in sorted(records)
        ]

    def adopt(self, fence: int, digest: int) -> bool:
        """Marks the records as complete under ``fence`` if ``digest`` matches."""
        if digest != self._digest or not self.promise(fence):
            return False
        self.complete_fence = fence
        return True

    def start_staging(self, fence: int) -> bool:
        """Starts replacing all records with those of the owner at ``fence``."""
        if not self.promise(fence):
            return False
        self._drop_staged()
        self._staged = {}
        self._staged_fence = fence
        return True

    def stage(self, fence: int, entries: list[GroupEntry]) -> bool:
        """Adds some of the records that will replace the current ones."""
        if self._staged is None or fence != self._staged_fence:
            return False
        for entry in entries:
            if position_of(entry) not in self._staged:
                self._stage_entry(position_of(entry), entry, _entry_digest(entry))
        return True

    def commit(self, fence: int) -> bool:
        """Replaces the records with the staged ones."""
        staged = self._staged
        if staged is None or fence != self._staged_fence or fence < self.promised_fence:
            return False
        self._staged = None
        self.clear()
        for position, stored in staged.items():
            self._insert(position, stored)
        self.complete_fence = fence
        return True

    def replace(self, entries: list[GroupEntry]) -> None:
        """Replaces all records with ``entries``."""
        self._drop_staged()
        self.clear()
        for entry in entries:
            self.put(entry)

    def clear(self) -> None:
        """Deletes all records."""
        for (kind, key), records in list(self._entries.items()):
            for sequence in list(records):
                self._remove(RecordPosition(kind, key, sequence))

    def _store_body(self, entry: GroupEntry, digest: int) -> StoredRecord:
        body = self._body_store.put(entry.body)
        return StoredRecord(entry.fence, len(entry.body), digest, body)

    def _stage_entry(
        self, position: RecordPosition, entry: GroupEntry, digest: int
    ) -> None:
        old = self._staged.get(position)
        if old is not None:
            self._body_store.drop(old.body)
        self._staged[position] = self._store_body(entry, digest)

    def _drop_staged(self) -> None:
        for stored in (self._staged or {}).values():
            self._body_store.drop(stored.body)
        self._staged = None

    def _insert(self, position: RecordPosition, stored: StoredRecord) -> None:
        records = self._entries.setdefault(position[:2], {})
        if position.sequence in records:
            self._remove(position)
            records = self._entries.setdefault(position[:2], {})
        records[position.sequence] = stored
        self.size += stored.size
        self._digest ^= stored.digest

    def _remove(self, position: RecordPosition) -> None:
        records = self._entries[position[:2]]
        stored = records.pop(position.sequence)
        if not records:
            del self._entries[position[:2]]
        self.size -= stored.size
        self._digest ^= stored.digest
        self._body_store.drop(stored.body)


def _entry_digest(entry: GroupEntry) -> int:
    head = f"{entry.kind}\0{entry.key}\0{entry.sequence}\0{entry.fence}\0"
    return xxhash.xxh3_64_intdigest(head.encode() + entry.body)
