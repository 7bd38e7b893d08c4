"""Queue of the records that are to be written to the store, and when."""

from collections.abc import Sequence
from typing import NamedTuple

from magnoliaroad.records.journal import JournalRecord
from magnoliaroad.records.settings import RecordSettings

# Fraction of the gap between ``store_after_s`` and ``partner_after_s`` within which a
# batch may include records before they are due.
EARLY_FRACTION = 0.9


class PendingRecord(NamedTuple):
    """A record that the store may not hold yet.

    Attributes:
        record: The record.
        due_at: Time at which this host writes it to the store, in seconds.
        partners: Hosts that also hold it and are notified once it is stored.
    """

    record: JournalRecord
    due_at: float
    partners: tuple[str, ...]


class PendingRecords:
    """Collects records and groups them into batches for the store.

    Args:
        cfg: Batch sizes and delays.

    Attributes:
        size_bytes: Total size of the values of all records, refused ones included.
        delay_s: Extra time before a record is due, in seconds.
    """

    def __init__(self, cfg: RecordSettings) -> None:
        self.cfg = cfg
        self.size_bytes = 0
        self.delay_s = 0.0
        self._records: dict[str, PendingRecord] = {}
        # Records that the store does not accept, and when they expire, in seconds.
        self._refused: dict[str, tuple[PendingRecord, float]] = {}

    def __len__(self) -> int:
        return len(self._records)

    @property
    def refused_count(self) -> int:
        """Number of records that the store does not accept."""
        return len(self._refused)

    def add(
        self,
        now: float,
        record: JournalRecord,
        partners: Sequence[str],
        writes_first: bool,
    ) -> None:
        """Adds a record; it is due later on hosts that do not write first."""
        if record.key in self._records or record.key in self._refused:
            return
        age_s = self.cfg.store_after_s if writes_first else self.cfg.partner_after_s
        due_at = now + age_s + self.delay_s
        self._records[record.key] = PendingRecord(record, due_at, tuple(partners))
        self.size_bytes += len(record.value)

    def get(self, key: str) -> bytes | None:
        """Returns the value of a pending or refused record, or ``None``."""
        pending = self._records.get(key)
        if pending is None:
            pending, _ = self._refused.get(key, (None, 0.0))
        return None if pending is None else pending.record.value

    def pop(self, key: str) -> PendingRecord | None:
        """Removes and returns a record that is now in the store."""
        pending = self._records.pop(key, None)
        if pending is None:
            pending, _ = self._refused.pop(key, (None, 0.0))
        if pending is not None:
            self.size_bytes -= len(pending.record.value)
        return pending

    def refuse(self, now: float, key: str) -> None:
        """Keeps a record that the store does not accept until it expires.

        It is part of no further batch.
        """
        pending = self._records.pop(key, None)
        if pending is not None:
            self._refused[key] = (pending, now + pending.record.ttl_s)

    def postpone(self, now: float, key: str, delay_s: float) -> None:
        """Makes a record due later, behind the others."""
        pending = self._records.pop(key, None)
        if pending is not None:
            self._records[key] = pending._replace(due_at=now + delay_s)

    def expired(self, now: float) -> list[str]:
        """Returns the keys of the refused records that have expired."""
        return [key for key, (_, ends_at) in self._refused.items() if ends_at <= now]

    def next_batch(self, now: float, everything: bool = False) -> list[PendingRecord]:
        """Returns the next records to write, or none if no record is due.

        A batch also includes records that will be due soon, to save calls on the store.

        Args:
            now: Time in seconds.
            everything: Whether to treat all records as due.
        """
        due = any(everything or p.due_at <= now for p in self._records.values())
        if not due:
            return []
        batch, size = [], 0
        ordered = sorted(self._records.values(), key=lambda p: p.due_at)
        for pending in ordered:
            size += len(pending.record.value)
            full = size > self.cfg.batch_bytes or len(batch) >= self.cfg.batch_count
            # A partner's copy is due later than this, so it is not written as well.
            gap_s = self.cfg.partner_after_s - self.cfg.store_after_s
            early_s = min(self.cfg.store_after_s + self.delay_s, EARLY_FRACTION * gap_s)
            early = pending.due_at > now + early_s and not everything
            if batch and (full or early):
                break
            batch.append(pending)
        return batch
