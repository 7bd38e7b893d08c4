"""Which records are to be written to the store, and when."""

from collections.abc import Sequence
from typing import NamedTuple

from magnoliaroad.records.journal import JournalRecord
from magnoliaroad.records.settings import RecordSettings

# Part of the time between a record's first host and its partners in which a call takes
# records along.
EARLY_FRACTION = 0.9


class PendingRecord(NamedTuple):
    """A record that the store may not hold yet.

    Attributes:
        record: The record.
        due_at: Time at which this host writes it to the store.
        partners: Hosts that hold it too and are told.
    """

    record: JournalRecord
    due_at: float
    partners: tuple[str, ...]


class PendingRecords:
    """Collects records and cuts them into batches for the store.

    Args:
        cfg: Sizes and ages.

    Attributes:
        size_bytes: Bytes of all records that wait.
        delay_s: Added to the ages at which records are due.
    """

    def __init__(self, cfg: RecordSettings) -> None:
        self.cfg = cfg
        self.size_bytes = 0
        self.delay_s = 0.0
        self._records: dict[str, PendingRecord] = {}

    def __len__(self) -> int:
        return len(self._records)

    def add(
        self,
        now: float,
        record: JournalRecord,
        partners: Sequence[str],
        writes_first: bool,
    ) -> None:
        """Takes a record; the partners of the first host wait longer."""
        if record.key in self._records:
            return
        age_s = self.cfg.store_after_s if writes_first else self.cfg.partner_after_s
        due_at = now + age_s + self.delay_s
        self._records[record.key] = PendingRecord(record, due_at, tuple(partners))
        self.size_bytes += len(record.value)

    def get(self, key: str) -> bytes | None:
        """Returns the value of a record that waits."""
        pending = self._records.get(key)
        return None if pending is None else pending.record.value

    def pop(self, key: str) -> PendingRecord | None:
        """Takes out a record that is in the store."""
        pending = self._records.pop(key, None)
        if pending is not None:
            self.size_bytes -= len(pending.record.value)
        return pending

    def next_batch(self, now: float, everything: bool = False) -> list[PendingRecord]:
        """Returns the next records to write if some are due.

        A call that must be made takes others along whose turn would come soon.
        """
        due = any(everything or p.due_at <= now for p in self._records.values())
        if not due:
            return []
        batch, size = [], 0
        ordered = sorted(self._records.values(), key=lambda p: p.due_at)
        for pending in ordered:
            size += len(pending.record.value)
            full = size > self.cfg.batch_bytes or len(batch) >= self.cfg.batch_count
            # Partners are due later than that, so they do not write as well.
            gap_s = self.cfg.partner_after_s - self.cfg.store_after_s
            early_s = min(self.cfg.store_after_s + self.delay_s, EARLY_FRACTION * gap_s)
            early = pending.due_at > now + early_s and not everything
            if batch and (full or early):
                break
            batch.append(pending)
        return batch
