"""Owner side: records attempts and decides on repeated calls."""

from collections.abc import Awaitable, Callable

from loguru import logger

from magnoliaroad.groups import GroupEntry, Groups, NotCopied, NotOwner
from magnoliaroad.once.attempt import Attempt
from magnoliaroad.once.ledger import Ledger, PendingWrite
from magnoliaroad.once.messages import (
    AttemptState,
    IntentBegin,
    IntentBeginReply,
    IntentFinish,
    IntentFinishReply,
)
from magnoliaroad.once.record import RECORD_KIND, pack_record
from magnoliaroad.once.refusals import not_recorded
from magnoliaroad.once.settings import OnceSettings
from magnoliaroad.once.stored import StoredAnswer
from magnoliaroad.refusal import Refusal

NOT_OWNED = IntentBeginReply(owned=False)
RUN_NOW = IntentBeginReply(owned=True)

# Asks the host of an attempt for its state; ``None`` if it does not answer.
AttemptStateQuery = Callable[[Attempt], Awaitable[AttemptState | None]]


class IntentOwner:
    """Ledgers of the groups that this host owns; ``groups`` replicates the records."""

    def __init__(
        self,
        cfg: OnceSettings,
        groups: Groups,
        query_attempt_state: AttemptStateQuery,
        clock: Callable[[], float],
    ) -> None:
        self.cfg = cfg
        self._groups = groups
        self._query_attempt_state = query_attempt_state
        self._clock = clock
        self._ledgers: dict[str, Ledger] = {}
        groups.on_owned(RECORD_KIND, self._restore)

    async def begin(self, message: IntentBegin) -> IntentBeginReply:
        """Decides on an attempt; stores its record before it may run."""
        attempt = message.attempt
        group = self._groups.group_of(attempt.intent.name)
        if self._groups.fence(group) is None:
            return NOT_OWNED
        await self._check_running(group, attempt)
        ledger = self._ledger(group)
        decision = ledger.begin(attempt, self._clock())
        if isinstance(decision, Refusal):
            return IntentBeginReply(owned=True, refusal=decision)
        if isinstance(decision, StoredAnswer):
            return IntentBeginReply(owned=True, answer=decision)
        if await self._append(group, decision) and self._may_run(
            group, ledger, decision
        ):
            return RUN_NOW
        ledger.withdraw(decision)
        return IntentBeginReply(owned=True, refusal=not_recorded(attempt.intent.key))

    async def finish(self, message: IntentFinish) -> IntentFinishReply:
        """Records the outcome of an attempt."""
        attempt = message.attempt
        group = self._groups.group_of(attempt.intent.name)
        if self._groups.fence(group) is None:
            return IntentFinishReply(recorded=False)
        ledger = self._ledger(group)
        write = ledger.finish(attempt, message.conclusion, self._clock())
        if write is None:
            return IntentFinishReply(recorded=True)
        stored = await self._append(group, write)
        return IntentFinishReply(recorded=stored and ledger.apply_finish(write))

    def sweep(self) -> None:
        """Deletes intents that are past their retention time."""
        before = self._clock() - self.cfg.retention_s
        for group, ledger in self._ledgers.items():
            if self._groups.fence(group) is None:
                continue
            for name in ledger.expire(before):
                self._groups.delete_records(group, RECORD_KIND, name)

    def count_unknown(self) -> int:
        """Returns the number of intents of this owner that may have run."""
        return sum(ledger.count_unknown() for ledger in self._ledgers.values())

    def _restore(self, group: str, entries: list[GroupEntry]) -> None:
        ledger = Ledger()
        ledger.restore(entries)
        self._ledgers[group] = ledger

    def _ledger(self, group: str) -> Ledger:
        return self._ledgers.setdefault(group, Ledger())

    def _may_run(self, group: str, ledger: Ledger, write: PendingWrite) -> bool:
        is_current_ledger = self._ledgers.get(group) is ledger
        return (
            is_current_ledger
            and self._groups.fence(group) is not None
            and ledger.may_run(write)
        )

    async def _check_running(self, group: str, attempt: Attempt) -> None:
        record = self._ledger(group).get_running(attempt.intent.name)
        if record is None or record.attempt == attempt:
            return
        state = await self._query_attempt_state(record.attempt)
        overdue = self._clock() - record.begun_at > self.cfg.lost_after_s
        abandoned = overdue if state is None else not state.running
        if not abandoned:
            return
        self._ledger(group).mark_unknown(record.attempt)
        logger.bind(
            intent=attempt.intent.name,
            attempt=record.attempt.attempt_id,
            host=record.attempt.host,
            reason="host unreachable"
            if state is None
            else "attempt no longer in progress",
        ).warning("intent may have run")

    async def _append(self, group: str, write: PendingWrite) -> bool:
        fence = self._groups.fence(group)
        if fence is None:
            return False
        body = pack_record(write.record)
        entry = GroupEntry(group, RECORD_KIND, write.name, write.sequence, fence, body)
        try:
            await self._groups.append(entry)
        except (NotOwner, NotCopied) as exc:
            logger.bind(intent=write.name, reason=repr(exc)).warning(
                "intent not recorded"
            )
            return False
        return True
