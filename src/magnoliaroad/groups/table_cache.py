"""Local cache of the group tables in the store."""

import contextlib
from collections.abc import Iterator

from magnoliaroad.decoding import log_refused
from magnoliaroad.groups.table import (
    TABLES_PREFIX,
    GroupTable,
    pack_table,
    table_key,
    unpack_table,
)
from magnoliaroad.store import (
    Store,
    StoreConflict,
    StoreEntry,
    StoreError,
    StoreUnavailable,
    WatchBatch,
)


class TableCache:
    """Newest known table of each domain; writes use compare-and-swap.

    Attributes:
        is_store_reachable: Whether the store answered the last call.
    """

    def __init__(self, store: Store) -> None:
        self.is_store_reachable = True
        self._store = store
        self._tables: dict[str, GroupTable] = {}

    def get(self, domain: str) -> GroupTable:
        """Returns the table of ``domain``, or an empty one if none is known."""
        return self._tables.get(domain, GroupTable(domain))

    def all(self) -> list[GroupTable]:
        """Returns all tables."""
        return list(self._tables.values())

    def revisions(self) -> dict[str, int]:
        """Returns the revision of each table, by domain."""
        return {domain: table.revision for domain, table in self._tables.items()}

    def update_if_newer(self, table: GroupTable) -> bool:
        """Stores ``table`` if it is newer; returns whether it was."""
        if table.revision <= self.get(table.domain).revision:
            return False
        self._tables[table.domain] = table
        return True

    def update_from_entry(self, entry: StoreEntry) -> bool:
        """Stores the table in a store entry if it is newer; returns whether it was."""
        domain = entry.key.removeprefix(TABLES_PREFIX)
        try:
            table = unpack_table(domain, entry.revision, entry.value)
        except ValueError as exc:
            log_refused(entry.key, entry.revision, str(exc))
            return False
        return self.update_if_newer(table)

    async def read(self) -> int:
        """Reads all tables from the store; returns the store's revision."""
        with self._observed():
            batch = await self._store.list(TABLES_PREFIX)
        for entry in batch.changed:
            self.update_from_entry(entry)
        return batch.revision

    async def watch(self, revision: int) -> WatchBatch:
        """Waits for changes after ``revision`` and stores the newer tables."""
        with self._observed():
            batch = await self._store.watch(TABLES_PREFIX, revision)
        for entry in batch.changed:
            self.update_from_entry(entry)
        return batch

    async def write(self, table: GroupTable) -> GroupTable | None:
        """Writes ``table`` if the store still has the revision it is based on.

        Returns the table as written, or ``None`` on a conflict; the cache then
        holds the conflicting table.
        """
        key = table_key(table.domain)
        try:
            with self._observed():
                revision = await self._store.put(key, pack_table(table), table.revision)
        except StoreConflict as exc:
            if exc.current is not None:
                self.update_from_entry(exc.current)
            return None
        written = table._replace(revision=revision)
        self.update_if_newer(written)
        return written

    @contextlib.contextmanager
    def _observed(self) -> Iterator[None]:
        try:
            yield
        except StoreError as exc:
            self.is_store_reachable = not isinstance(exc, StoreUnavailable)
            raise
        self.is_store_reachable = True
