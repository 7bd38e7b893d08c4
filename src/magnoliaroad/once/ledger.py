"""Decides whether an attempt may run, is refused, or gets a stored answer."""

from typing import NamedTuple

from magnoliaroad.groups import GroupEntry
from magnoliaroad.once.attempt import Attempt
from magnoliaroad.once.conclusion import Conclusion
from magnoliaroad.once.record import IntentRecord, latest_records, unpack_record
from magnoliaroad.once.refusals import (
    answer_not_kept,
    in_progress,
    key_reused,
    may_have_run,
    not_recorded,
)
from magnoliaroad.once.stored import StoredAnswer
from magnoliaroad.refusal import Refusal
from magnoliaroad.verdict import Verdict

UNKNOWN = Conclusion(Verdict.MAY_HAVE_RUN)
NOT_RUN = Conclusion(Verdict.NOT_RUN)


class PendingWrite(NamedTuple):
    """A record that must be replicated before its decision takes effect."""

    sequence: int
    record: IntentRecord

    @property
    def name(self) -> str:
        """Name of the intent."""
        return self.record.attempt.intent.name


class Ledger:
    """Records of the intents of one group, by name.

    An attempt may run once the write returned by ``begin`` is stored on other
    hosts and ``may_run`` returns ``True`` for it. ``withdraw`` reverts a write
    whose storage failed or is uncertain.
    """

    def __init__(self) -> None:
        self._records: dict[str, IntentRecord] = {}
        self._sequences: dict[str, int] = {}
        self._last_sequences: dict[str, int] = {}
        self._withdrawn: set[str] = set()

    def __len__(self) -> int:
        return len(self._records)

    def restore(self, entries: list[GroupEntry]) -> None:
        """Loads the records of an earlier owner.

        That owner may have started any attempt that has no conclusion.
        """
        for name, entry in latest_records(entries).items():
            self._records[name] = unpack_record(entry.body)
            self._sequences[name] = entry.sequence
            self._last_sequences[name] = entry.sequence

    def begin(
        self, attempt: Attempt, now: float
    ) -> PendingWrite | StoredAnswer | Refusal:
        """Decides on ``attempt``, begun at ``now`` in seconds since 1970.

        Returns:
            The write to store before the attempt may run, the answer of an
            earlier attempt, or a refusal.
        """
        record = self._records.get(attempt.intent.name)
        if record is None:
            return self._start(IntentRecord(attempt, now))
        if record.attempt.intent.fingerprint != attempt.intent.fingerprint:
            return key_reused(attempt.intent.key)
        if not _is_final(record.conclusion):
            return self._begin_unfinished(record, attempt)
        if record.conclusion.verdict is Verdict.RAN:
            return record.conclusion.answer or answer_not_kept(
                attempt.intent.key, record.conclusion.digest
            )
        if record.attempt.attempt_id == attempt.attempt_id:
            return not_recorded(attempt.intent.key)
        return self._start(IntentRecord(attempt, now))

    def may_run(self, write: PendingWrite) -> bool:
        """Returns whether the attempt of a stored ``write`` may run."""
        record = self._records.get(write.name)
        return record == write.record and self._sequences[write.name] == write.sequence

    def withdraw(self, write: PendingWrite) -> None:
        """Reverts a ``write`` whose storage is uncertain; its attempt never runs."""
        if self.may_run(write):
            self._records[write.name] = write.record._replace(conclusion=NOT_RUN)
            self._withdrawn.add(write.name)

    def mark_unknown(self, attempt: Attempt) -> None:
        """Marks ``attempt``, abandoned by its host, as one that may have run."""
        record = self.get_running(attempt.intent.name)
        if record is not None and record.attempt == attempt:
            self._records[attempt.intent.name] = record._replace(conclusion=UNKNOWN)

    def finish(
        self, attempt: Attempt, conclusion: Conclusion, now: float
    ) -> PendingWrite | None:
        """Returns the write that records the outcome of ``attempt``.

        Returns ``None`` if the outcome is recorded already or another attempt
        has followed.
        """
        name = attempt.intent.name
        record = self._records.get(name, IntentRecord(attempt, now))
        if record.attempt.attempt_id != attempt.attempt_id:
            return None
        already_recorded = record.conclusion == conclusion or _is_final(
            record.conclusion
        )
        if already_recorded and name not in self._withdrawn:
            return None
        return self._next(record._replace(conclusion=conclusion))

    def apply_finish(self, write: PendingWrite) -> bool:
        """Applies a stored write of ``finish``.

        Returns:
            Whether it was applied; ``False`` if a later one already was.
        """
        if write.sequence < self._sequences.get(write.name, 0):
            return False
        self._apply(write)
        return True

    def get_running(self, name: str) -> IntentRecord | None:
        """Returns the record of ``name`` if its attempt has no conclusion yet."""
        record = self._records.get(name)
        return None if record is None or record.conclusion is not None else record

    def count_unknown(self) -> int:
        """Returns the number of intents that may have run."""
        conclusions = [record.conclusion for record in self._records.values()]
        return sum(1 for conclusion in conclusions if conclusion == UNKNOWN)

    def expire(self, before: float) -> list[str]:
        """Deletes intents begun earlier than ``before``; returns their names."""
        names = [n for n, r in self._records.items() if r.begun_at < before]
        for name in names:
            del self._records[name]
            del self._sequences[name]
            del self._last_sequences[name]
            self._withdrawn.discard(name)
        return names

    def _begin_unfinished(
        self, record: IntentRecord, attempt: Attempt
    ) -> PendingWrite | Refusal:
        if record.attempt == attempt:
            return self._start(record._replace(conclusion=None))
        if record.conclusion is None:
            return in_progress(attempt.intent.key)
        return may_have_run(attempt.intent.key)

    def _start(self, record: IntentRecord) -> PendingWrite:
        write = self._next(record)
        self._apply(write)
        return write

    def _next(self, record: IntentRecord) -> PendingWrite:
        name = record.attempt.intent.name
        self._last_sequences[name] = self._last_sequences.get(name, 0) + 1
        return PendingWrite(self._last_sequences[name], record)

    def _apply(self, write: PendingWrite) -> None:
        self._records[write.name] = write.record
        self._sequences[write.name] = write.sequence
        self._withdrawn.discard(write.name)


def _is_final(conclusion: Conclusion | None) -> bool:
    return conclusion is not None and conclusion.verdict is not Verdict.MAY_HAVE_RUN
