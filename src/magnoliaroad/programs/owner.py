"""Owner side of programs: admits and settles turns of the groups owned here."""

import asyncio
import collections
import functools
from collections.abc import Callable
from typing import TypeVar

from loguru import logger
from returns.pipeline import is_successful

from magnoliaroad.groups import GroupEntry, Groups, NotCopied, NotOwner
from magnoliaroad.programs.call import Call
from magnoliaroad.programs.call_queue import CallQueue
from magnoliaroad.programs.events import (
    Event,
    ProgramEnded,
    ProgramReleased,
    ProgramStarted,
)
from magnoliaroad.programs.ids import home_of, root_of
from magnoliaroad.programs.messages import (
    ProgramEndRequest,
    ProgramLivenessReply,
    ProgramReply,
    ProgramStartRequest,
    ProgramStateRequest,
    TurnBeginReply,
    TurnBeginRequest,
    TurnFinishRequest,
)
from magnoliaroad.programs.program import Program
from magnoliaroad.programs.program_table import (
    RECORD_KIND,
    Admission,
    ProgramTable,
    RepeatedTurn,
)
from magnoliaroad.programs.refusals import memory_full, out_of_order, program_busy
from magnoliaroad.programs.settings import ProgramSettings
from magnoliaroad.refusal import Refusal

T = TypeVar("T")
TURN_NOT_OWNED = TurnBeginReply(False)
PROGRAM_NOT_OWNED = ProgramReply(False)


class ProgramOwner:
    """Handles requests about programs, with a table for each group owned here.

    Args:
        cfg: Settings of programs.
        groups: Provides the ownership of groups and stores records.
        clock: Returns monotonic time in seconds.
    """

    def __init__(
        self, cfg: ProgramSettings, groups: Groups, clock: Callable[[], float]
    ) -> None:
        self.cfg = cfg
        self._groups = groups
        self._clock = clock
        self._tables: dict[str, ProgramTable] = {}
        self._queues: dict[str, CallQueue] = {}
        self._locks: dict[str, asyncio.Lock] = {}
        self._change_events: dict[str, asyncio.Event] = {}
        # Attempts whose entry hosts gave up before the turn began.
        self._withdrawn: collections.deque[str] = collections.deque(maxlen=1000)
        groups.on_owned(RECORD_KIND, self._on_owned)

    def group_of(self, program_id: str) -> str:
        """Returns the group of a program."""
        return self._groups.group_of(root_of(program_id), home_of(program_id))

    def tables(self) -> list[ProgramTable]:
        """Returns the tables of the groups that this host may act for now."""
        for group, table in list(self._tables.items()):
            if self._groups.fence(group) != table.fence:
                del self._tables[group]
        return list(self._tables.values())

    def table_of(self, program_id: str) -> ProgramTable | None:
        """Returns the table of a program, if this host may act for it now."""
        group = self.group_of(program_id)
        table = self._tables.get(group)
        if table is None or self._groups.fence(group) != table.fence:
            return None
        return table

    async def begin(self, message: TurnBeginRequest) -> TurnBeginReply:
        """Begins a turn once earlier ones of the program have ended."""
        call = message.call
        queue = self._queues.setdefault(call.program, CallQueue())
        place = queue.join(call.turn)
        try:
            async with asyncio.timeout(self.cfg.order_wait_s):
                while not self._can_decide(message, queue, place):
                    await self._wait_for_change(call.program)
        except TimeoutError:
            return TurnBeginReply(True, self._timeout_refusal(call))
        finally:
            queue.leave(place)
            self._notify_waiters(call.program)
            if not len(queue):
                self._queues.pop(call.program, None)
        return await self._admit(message)

    async def finish(self, message: TurnFinishRequest) -> ProgramReply:
        """Records the end of a turn."""
        table = self.table_of(message.program)
        if table is None:
            return PROGRAM_NOT_OWNED
        if table.is_settled(message.program, message.attempt):
            confirmed = await self.confirm(table, message.program)
            return ProgramReply(True, True) if confirmed else PROGRAM_NOT_OWNED
        event = table.settle_event(message.program, message.attempt, message.outcome)
        if event is None:
            self._withdrawn.append(message.attempt)
            return ProgramReply(True, False)
        if not await self.record(table, message.program, event):
            return PROGRAM_NOT_OWNED
        return ProgramReply(True, True)

    async def start(self, message: ProgramStartRequest) -> ProgramReply:
        """Records that a program was started."""
        table = self.table_of(message.program)
        if table is None:
            return PROGRAM_NOT_OWNED
        if message.program in table.programs:
            return ProgramReply(True, True)
        event = ProgramStarted(message.team, message.budget)
        return ProgramReply(await self.record(table, message.program, event), True)

    async def end(self, message: ProgramEndRequest) -> ProgramReply:
        """Ends a program and its children."""
        table = self.table_of(message.program)
        if table is None:
            return PROGRAM_NOT_OWNED
        programs = table.with_descendants(message.program)
        if not programs or any(p.team != message.team for p in programs):
            return ProgramReply(True, False)
        for program in programs:
            if not program.ended and not await self.record(
                table, program.program_id, ProgramEnded("by its caller")
            ):
                return PROGRAM_NOT_OWNED
        return ProgramReply(True, True)

    def state(self, message: ProgramStateRequest) -> ProgramReply:
        """Returns the state of a program."""
        table = self.table_of(message.program)
        if table is None:
            return PROGRAM_NOT_OWNED
        program = table.programs.get(message.program)
        if program is None or program.team != message.team:
            return ProgramReply(True, False)
        state = {
            "program": program.program_id,
            "turns": program.turn_count,
            "running": program.open_turn is not None,
            "ended": program.ended,
            "budget": program.budget.limit,
            "used": program.budget.used,
            "left": program.budget.remaining,
            "held_by": sorted(program.targets),
            "messages": program.messages(),
        }
        return ProgramReply(True, True, state)

    def liveness(self, programs: tuple[str, ...]) -> ProgramLivenessReply:
        """Returns which programs are alive, of those that this host may act for."""
        alive, dead = [], []
        for name in programs:
            table = self.table_of(name)
            if table is None:
                continue
            program = table.programs.get(name)
            is_dead = program is None or (program.ended and program.open_turn is None)
            (dead if is_dead else alive).append(name)
        return ProgramLivenessReply(tuple(alive), tuple(dead))

    async def end_idle(self) -> None:
        """Ends idle programs and forgets those that ended long ago."""
        for name in list(self._change_events):
            if self.table_of(name) is None:
                self._notify_waiters(name)
        for table in self.tables():
            now = self._clock()
            for program in table.idle(now):
                logger.bind(program=program.program_id).info("idle program ended")
                await self.record(
                    table, program.program_id, ProgramEnded("idle too long")
                )
            for program in table.forgettable(now):
                self._groups.delete_records(
                    table.group, RECORD_KIND, program.program_id
                )
                table.drop(program.program_id)

    async def settle_lapsed(self, table: ProgramTable, program: Program) -> None:
        """Settles the open turn of a program whose entry host was lost."""
        event = table.lapse_event(program)
        logger.bind(program=program.program_id, host=program.open_turn.host).warning(
            "turn settled as may have run: its entry host does not respond"
        )
        await self.record(table, program.program_id, event)

    async def record_release(self, program_id: str, target: str) -> None:
        """Records that ``target`` has released an ended program."""
        table = self.table_of(program_id)
        program = None if table is None else table.programs.get(program_id)
        if program is not None and program.ended and target in program.targets:
            await self.record(table, program_id, ProgramReleased(target))

    async def record(self, table: ProgramTable, program_id: str, event: Event) -> bool:
        """Applies ``event`` and appends it; returns whether it was confirmed."""
        table.record(program_id, event, self._clock())
        self._notify_waiters(program_id)
        return await self.confirm(table, program_id)

    async def confirm(self, table: ProgramTable, program_id: str) -> bool:
        """Appends a program's unconfirmed records in order; false if one fails."""
        lock = self._locks.setdefault(program_id, asyncio.Lock())
        async with lock:
            entries = table.unconfirmed.get(program_id, [])
            while entries:
                if not await self._append(table, entries[0]):
                    return False
                entries.pop(0)
            table.unconfirmed.pop(program_id, None)
            self._locks.pop(program_id, None)
        return True

    async def _append(self, table: ProgramTable, entry: GroupEntry) -> bool:
        try:
            await self._groups.append(entry)
        except NotOwner:
            if self._tables.get(table.group) is table:
                del self._tables[table.group]
            return False
        except NotCopied:
            return False
        return True

    async def _admit(self, message: TurnBeginRequest) -> TurnBeginReply:
        call = message.call
        table = self.table_of(call.program)
        if table is None:
            return TURN_NOT_OWNED
        known = table.programs.get(call.program)
        is_late = known is not None and known.has_ended_attempt(message.attempt)
        if is_late or message.attempt in self._withdrawn:
            return TurnBeginReply(True, program_busy(call.program))
        repeated = self._repeated_reply(table, message)
        if repeated is not None:
            return (
                repeated if await self.confirm(table, call.program) else TURN_NOT_OWNED
            )
        if known is None and not self._groups.has_capacity():
            return TurnBeginReply(True, memory_full(call.program))
        result = table.admit(call, message.budget, message.attempt, message.host)
        if not is_successful(result):
            await self._end_exhausted(table, call)
            return TurnBeginReply(True, result.failure())
        admission = result.unwrap()
        if isinstance(admission, RepeatedTurn):
            number, answer = admission
            if not await self.confirm(table, call.program):
                return TURN_NOT_OWNED
            return TurnBeginReply(True, None, number, answer=answer)
        known_program = table.programs.get(call.program)
        history = (
            []
            if known_program is None or admission.is_whole_history
            else known_program.messages()
        )
        if not await self.record(table, call.program, admission.event):
            # The entry host repeats the request, or withdraws the run if it gives up.
            return TURN_NOT_OWNED
        return _admitted_reply(admission, history)

    async def _end_exhausted(self, table: ProgramTable, call: Call) -> None:
        reason = table.exhaustion_reason(call)
        if reason:
            logger.bind(program=call.program, reason=reason).info("program ended")
            await self.record(table, call.program, ProgramEnded(reason))

    def _repeated_reply(
        self, table: ProgramTable, message: TurnBeginRequest
    ) -> TurnBeginReply | None:
        """Returns the reply again if the attempt has begun; the first one was lost."""
        program = table.programs.get(message.call.program)
        turn = None if program is None else program.open_turn
        if turn is None or turn.attempt != message.attempt:
            return None
        messages = [*program.messages(), *turn.messages]
        prompt = program.prompt_tokens(turn.route, turn.extra_bytes, turn.messages)
        allowed = turn.reserved - prompt
        return TurnBeginReply(
            True, None, program.turn_count + 1, allowed, turn.reserved, messages
        )

    def _can_decide(
        self, message: TurnBeginRequest, queue: CallQueue, place: int
    ) -> bool:
        """Whether to decide now: the turn may begin or will surely be refused."""
        call = message.call
        table = self.table_of(call.program)
        if table is None:
            return True
        program = table.programs.get(call.program)
        if program is None:
            return queue.is_next(place, 1) or bool(call.turn and call.turn > 1)
        if program.open_turn is not None:
            return program.open_turn.attempt == message.attempt
        expected = program.turn_count + 1
        if call.turn is not None and call.turn != expected:
            return call.turn < expected
        return queue.is_next(place, expected)

    def _timeout_refusal(self, call: Call) -> Refusal:
        table = self.table_of(call.program)
        program = None if table is None else table.programs.get(call.program)
        if program is None or program.open_turn is not None or call.turn is None:
            return program_busy(call.program)
        return out_of_order(call.program, call.turn, program.turn_count + 1)

    async def _wait_for_change(self, program_id: str) -> None:
        await self._change_events.setdefault(program_id, asyncio.Event()).wait()

    def _notify_waiters(self, program_id: str) -> None:
        event = self._change_events.pop(program_id, None)
        if event is not None:
            event.set()

    def _on_owned(self, group: str, entries: list[GroupEntry]) -> None:
        read_record = functools.partial(self._groups.body, group, RECORD_KIND)
        table = ProgramTable(
            self.cfg, group, self._groups.fence(group) or 0, read_record
        )
        table.load(entries, self._clock())
        self._tables[group] = table
        for program_id in list(self._change_events):
            self._notify_waiters(program_id)


def _admitted_reply(admission: Admission, history: list) -> TurnBeginReply:
    event = admission.event
    messages = None if admission.is_whole_history else [*history, *event.messages]
    return TurnBeginReply(
        True,
        None,
        admission.number,
        admission.max_tokens,
        event.reserved,
        messages,
    )
