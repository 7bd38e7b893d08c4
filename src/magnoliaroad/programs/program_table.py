"""Programs of one group, held by the owner of the group."""

import functools
from collections.abc import Callable, Iterable
from typing import Any, NamedTuple

from returns.pipeline import is_successful
from returns.result import Failure, Result, Success

from magnoliaroad.groups import GroupEntry
from magnoliaroad.programs.budget import Budget
from magnoliaroad.programs.call import Call
from magnoliaroad.programs.events import (
    Event,
    ProgramStarted,
    TurnBegun,
    TurnSettled,
    pack_event,
    unpack_event,
)
from magnoliaroad.programs.ids import CHILD_SEPARATOR, is_issued, root_of
from magnoliaroad.programs.matching import new_messages, repeated_turn
from magnoliaroad.programs.outcome import Outcome
from magnoliaroad.programs.program import Program
from magnoliaroad.programs.refusals import (
    over_budget,
    program_ended,
    program_unknown,
    turn_limit,
    turn_taken,
)
from magnoliaroad.programs.settings import ProgramSettings
from magnoliaroad.refusal import Refusal
from magnoliaroad.verdict import Verdict

RECORD_KIND = "programs"


class Admission(NamedTuple):
    """A turn that may begin once its event is recorded.

    Attributes:
        event: The event to record.
        number: Number of the turn.
        max_tokens: Largest number of answer tokens.
        is_whole_history: Whether the caller's messages are the whole history.
    """

    event: TurnBegun
    number: int
    max_tokens: int
    is_whole_history: bool


class RepeatedTurn(NamedTuple):
    """A call that repeats an answered turn.

    Attributes:
        number: Number of the turn.
        answer: The kept answer.
    """

    number: int
    answer: dict[str, Any]


class ProgramTable:
    """Holds the programs of one group and decides whether to admit their calls.

    Attributes:
        programs: Programs by full id.
        unconfirmed: Records that copies have not confirmed yet, by program and in
            order; a later record is sent only after them.

    Args:
        cfg: Settings of programs.
        group: Name of the group.
        fence: Fencing token under which this host owns the group.
        read_record: Returns the body of a record by key and sequence number.
    """

    def __init__(
        self,
        cfg: ProgramSettings,
        group: str,
        fence: int,
        read_record: Callable[[str, int], bytes],
    ) -> None:
        self.cfg = cfg
        self.group = group
        self.fence = fence
        self._read_stored = read_record
        self.programs: dict[str, Program] = {}
        self.unconfirmed: dict[str, list[GroupEntry]] = {}
        self._budgets: dict[str, Budget] = {}

    def load(self, entries: Iterable[GroupEntry], now: float) -> None:
        """Rebuilds the programs from their records, each program's in order."""
        for entry in entries:
            event = unpack_event(entry.body)
            program = self._get_or_create(entry.key, event)
            program.sequence = entry.sequence - 1
            program.apply(event, now)

    def record(self, program_id: str, event: Event, now: float) -> GroupEntry:
        """Applies ``event`` and returns its record, which is not confirmed yet."""
        program = self._get_or_create(program_id, event)
        body = pack_event(event)
        program.apply(event, now)
        entry = GroupEntry(
            self.group, RECORD_KIND, program_id, program.sequence, self.fence, body
        )
        self.unconfirmed.setdefault(program_id, []).append(entry)
        return entry

    def admit(
        self, call: Call, limit: int, attempt: str, host: str
    ) -> Result[Admission | RepeatedTurn, Refusal]:
        """Returns the event that begins ``call`` as the next turn.

        A call that repeats a turn gets the kept answer.

        Args:
            call: The call; no turn of its program is open.
            limit: Budget of a new program, in tokens.
            attempt: Unique id of the run.
            host: Entry host that will run it.
        """
        program = self.programs.get(call.program)
        refusal = self._access_refusal(call, program)
        if refusal is not None:
            return Failure(refusal)
        repeated = 0 if program is None else repeated_turn(program, call)
        if repeated:
            return Success(RepeatedTurn(repeated, program.answer(repeated)))
        refusal = self._order_refusal(call, program)
        if refusal is not None:
            return Failure(refusal)
        if program is None:
            budget = self._budgets.get(root_of(call.program), Budget(limit))
            program = self._new_program(call.program, call.team, budget)
        result = new_messages(program, call)
        if not is_successful(result):
            return result
        return self._admit_within_budget(program, call, result.unwrap(), attempt, host)

    def exhaustion_reason(self, call: Call) -> str:
        """Returns why no further call can be admitted; empty if one can."""
        program = self.programs.get(call.program)
        if program is None or program.ended or program.open_turn is not None:
            return ""
        if program.attempt_count >= self.cfg.turn_limit:
            return "it made as many calls as it may"
        if program.is_budget_spent(call.route, call.extra_bytes):
            return "its budget is spent"
        return ""

    def settle_event(
        self, program_id: str, attempt: str, outcome: Outcome
    ) -> Event | None:
        """Returns the event that settles a run; ``None`` if it can't be settled."""
        program = self.programs.get(program_id)
        turn = None if program is None else program.unsettled_turn(attempt)
        if turn is None:
            return None
        return TurnSettled(
            attempt,
            outcome.verdict,
            outcome.answer,
            _charged_tokens(outcome, turn.reserved),
            outcome.prompt_tokens,
            outcome.target,
        )

    def is_settled(self, program_id: str, attempt: str) -> bool:
        """Whether the reported end of a run is recorded already."""
        program = self.programs.get(program_id)
        last = None if program is None else program.last_settled
        return last is not None and last.attempt == attempt and not last.lapsed

    def lapse_event(self, program: Program) -> TurnSettled:
        """Returns the event that settles the open turn of a lost entry host."""
        turn = program.open_turn
        return TurnSettled(
            turn.attempt, Verdict.MAY_HAVE_RUN, None, turn.reserved, lapsed=True
        )

    def with_descendants(self, program_id: str) -> list[Program]:
        """Returns a program and its descendants."""
        prefix = program_id + CHILD_SEPARATOR
        return [
            program
            for name, program in self.programs.items()
            if name == program_id or name.startswith(prefix)
        ]

    def idle(self, now: float) -> list[Program]:
        """Returns the programs that have been idle for too long."""
        return [
            program
            for program in self.programs.values()
            if not program.ended
            and program.open_turn is None
            and now - program.last_active_s >= self.cfg.idle_limit_s
        ]

    def forgettable(self, now: float) -> list[Program]:
        """Returns long-ended programs that no target holds in memory."""
        return [
            program
            for program in self.programs.values()
            if program.ended
            and program.open_turn is None
            and not program.targets
            and now - program.last_active_s >= self.cfg.ended_keep_s
        ]

    def drop(self, program_id: str) -> None:
        """Removes a program, and the budget with the last program that shares it."""
        self.programs.pop(program_id, None)
        root = root_of(program_id)
        if not self.with_descendants(root):
            self._budgets.pop(root, None)

    def _access_refusal(self, call: Call, program: Program | None) -> Refusal | None:
        """Returns why the program does not accept the call; ``None`` if it does."""
        root = self.programs.get(root_of(call.program))
        if program is None and root is None and is_issued(call.program):
            return program_unknown(call.program)
        for known in (program, root):
            if known is not None and known.team != call.team:
                return program_unknown(call.program)
            if known is not None and known.ended:
                return program_ended(call.program, known.ended)
        return None

    def _order_refusal(self, call: Call, program: Program | None) -> Refusal | None:
        """Returns why the call cannot be the next turn; ``None`` if it can."""
        if program is None:
            return program_unknown(call.program) if (call.turn or 1) > 1 else None
        if call.turn is not None and call.turn <= program.turn_count:
            return turn_taken(call.program, call.turn)
        if program.attempt_count >= self.cfg.turn_limit:
            return turn_limit(call.program, self.cfg.turn_limit)
        return None

    def _admit_within_budget(
        self, program: Program, call: Call, new: list, attempt: str, host: str
    ) -> Result[Admission, Refusal]:
        prompt = program.prompt_tokens(call.route, call.extra_bytes, new)
        remaining = program.budget.remaining
        allowed = min(call.max_tokens or self.cfg.answer_tokens, remaining - prompt)
        if allowed <= 0:
            return Failure(over_budget(call.program, remaining, prompt))
        event = TurnBegun(
            call.team,
            program.budget.limit,
            attempt,
            host,
            new,
            prompt + allowed,
            call.route,
            call.extra_bytes,
        )
        is_whole_history = len(new) < len(call.messages) or not program.digests
        return Success(
            Admission(event, program.turn_count + 1, allowed, is_whole_history)
        )

    def _get_or_create(self, program_id: str, event: Event) -> Program:
        program = self.programs.get(program_id)
        if program is None:
            team, limit = "", 0
            if isinstance(event, ProgramStarted | TurnBegun):
                team, limit = event.team, event.budget
            root = root_of(program_id)
            budget = self._budgets.setdefault(root, Budget(limit))
            budget.limit = max(budget.limit, limit)
            program = self._new_program(program_id, team, budget)
            self.programs[program_id] = program
        return program

    def _new_program(self, program_id: str, team: str, budget: Budget) -> Program:
        read_record = functools.partial(self._read_record, program_id)
        return Program(program_id, team, budget, read_record)

    def _read_record(self, program_id: str, sequence: int) -> bytes:
        for entry in self.unconfirmed.get(program_id, ()):
            if entry.sequence == sequence:
                return entry.body
        return self._read_stored(program_id, sequence)


def _charged_tokens(outcome: Outcome, reserved: int) -> int:
    if outcome.verdict is Verdict.NOT_RUN:
        return 0
    if outcome.answer is None or outcome.tokens <= 0:
        return reserved
    return outcome.tokens
