"""Reads and writes share tables in the store."""

from typing import Any

from magnoliaroad.limits.settings import LimitSettings
from magnoliaroad.limits.split import (
    SPLIT_KEY,
    Split,
    even_split,
    pack_split,
    unpack_split,
)
from magnoliaroad.limits.store_call import StoreCall, StoreOperation, StoreOutcome
from magnoliaroad.limits.table import (
    Member,
    ShareTable,
    TableRevision,
    pack_table,
    unpack_table,
)
from magnoliaroad.limits.view import ShareView

LIMITS_PREFIX = "limits/"
TABLE_PREFIX = "limits/shares/"
ROUNDS_PER_LIST = 5
ROUNDS_BEFORE_CREATE = 8


class ShareStore:
    """Creates the calls for this host's table and the split between data centres.

    Args:
        cfg: Settings of the limits.
        me: This process.
        view: Receives the tables that are read.

    Attributes:
        calls: Calls to make, in order and one at a time.
        split: The newest known split.
    """

    def __init__(self, cfg: LimitSettings, me: Member, view: ShareView) -> None:
        self.cfg = cfg
        self.me = me
        self.view = view
        self.calls: list[StoreCall] = []
        self.split: Split | None = None
        self._split_revision = 0
        self._revision = 0
        self._pending_write_revision: int | None = None
        self._queued = 0
        self._confirmed_at: float | None = None

    @property
    def write_pending(self) -> bool:
        """Whether a write with unknown outcome may still take effect."""
        return self._pending_write_revision is not None

    def is_fresh(self, now: float) -> bool:
        """Whether the store confirmed the table within two confirm intervals."""
        at = self._confirmed_at
        return at is not None and now - at < 2 * self.cfg.confirm_interval_s

    def age_s(self, now: float) -> float | None:
        """Returns the seconds since the store confirmed the table, if it ever did."""
        return None if self._confirmed_at is None else now - self._confirmed_at

    def record_confirmation(self, at: float) -> None:
        """Records that the store confirmed the table at ``at``."""
        before = self._confirmed_at
        self._confirmed_at = at if before is None else max(at, before)

    def read(self, now: float, rounds: int) -> None:
        """Queues a read of the own table and, every few rounds, of all tables."""
        if self._queued:
            return
        own = self.view.own_table
        if own is None and self.split is None:
            first = Split(1, {self.view.data_centre: 1.0})
            self._call(StoreOperation.CREATE, now, SPLIT_KEY, pack_split(first))
            return
        if rounds % ROUNDS_PER_LIST == 0 or len(self.view.tables) < 2:
            self._call(StoreOperation.LIST, now, LIMITS_PREFIX)
        if own is not None or rounds > ROUNDS_BEFORE_CREATE:
            self._create_or_read_table(now, parts=0.0, split=0)

    def write(self, now: float, table: ShareTable) -> None:
        """Queues a write that replaces the own table with ``table``."""
        if self._queued:
            return
        self._pending_write_revision = self._revision
        value = pack_table(table)
        key = self._key
        self._call(StoreOperation.WRITE, now, key, value, self._revision)

    def add_missing_data_centres(self, now: float) -> None:
        """Queues the write of a new split if the current one lacks a data centre."""
        if self.split is None or not self._split_revision:
            return
        split = even_split(self.split, {*self.view.tables, *self.split.parts})
        if split is not None:
            value, expected = pack_split(split), self._split_revision
            self._split_revision = 0
            self._call(StoreOperation.WRITE, now, SPLIT_KEY, value, expected)

    def on_outcome(
        self, now: float, call: StoreCall, outcome: StoreOutcome | None
    ) -> float | None:
        """Handles the outcome of ``call``; ``None`` when it is unknown.

        Returns the time at which the store confirmed that the known table is the
        newest, or ``None`` if it did not.
        """
        self._queued -= 1
        if outcome is None:
            return None
        if call.operation is StoreOperation.LIST:
            self._apply_list(now, outcome)
            return None
        if call.key == SPLIT_KEY:
            self._on_split_outcome(now, call, outcome)
            return None
        return self._on_table_outcome(now, call, outcome)

    @property
    def _key(self) -> str:
        return TABLE_PREFIX + self.view.data_centre

    def _call(
        self, operation: StoreOperation, now: float, key: str, *fields: Any
    ) -> None:
        self._queued += 1
        self.calls.append(StoreCall(operation, now, key, *fields))

    def _create_or_read_table(self, now: float, parts: float, split: int) -> None:
        first = ShareTable(
            self.view.data_centre, TableRevision(1, (self.me,), parts), split=split
        )
        value = pack_table(self.view.own_table or first)
        self._call(StoreOperation.CREATE, now, self._key, value)

    def _apply_list(self, now: float, outcome: StoreOutcome) -> None:
        for entry in outcome.entries:
            if entry.key == SPLIT_KEY:
                self._adopt_newer_split(unpack_split(entry.value), entry.revision)
            elif entry.key.startswith(TABLE_PREFIX):
                self.view.adopt(now, unpack_table(entry.value))

    def _on_split_outcome(
        self, now: float, call: StoreCall, outcome: StoreOutcome
    ) -> None:
        is_founding = outcome.written and call.operation is StoreOperation.CREATE
        if outcome.written:
            self._adopt_newer_split(unpack_split(call.value), outcome.revision)
        else:
            entry = outcome.entries[0]
            self._adopt_newer_split(unpack_split(entry.value), entry.revision)
        if is_founding and self.view.own_table is None:
            self._create_or_read_table(now, parts=1.0, split=1)
        elif self.view.own_table is None:
            self._call(StoreOperation.LIST, now, LIMITS_PREFIX)

    def _adopt_newer_split(self, split: Split, revision: int) -> None:
        if self.split is None or split.revision >= self.split.revision:
            self.split = split
            self._split_revision = revision

    def _on_table_outcome(
        self, now: float, call: StoreCall, outcome: StoreOutcome
    ) -> float | None:
        value, revision = call.value, outcome.revision
        if not outcome.written:
            value, revision = outcome.entries[0].value, outcome.entries[0].revision
        table = unpack_table(value)
        self._revision = revision
        if self._pending_write_revision != revision:
            self._pending_write_revision = None
        if self._is_founding_write(call, outcome, table):
            self.view.adopt_first(now, table)
        else:
            self.view.adopt(now, table)
        if table.revision != self.view.revision:
            return None
        self.record_confirmation(call.queued_at)
        return call.queued_at

    def _is_founding_write(
        self, call: StoreCall, outcome: StoreOutcome, table: ShareTable
    ) -> bool:
        created = outcome.written and call.operation is StoreOperation.CREATE
        return created and self.view.own_table is None and table.current.parts > 0
