"""Service that any host uses to run the calls of programs through their owners."""

import asyncio
import secrets
import time
from collections import defaultdict
from collections.abc import Callable
from typing import Any

from mode import Service
from returns.result import Failure, Result, Success

from magnoliaroad.background import background_task
from magnoliaroad.config import ConfigService
from magnoliaroad.groups import Groups
from magnoliaroad.peers import Peers
from magnoliaroad.programs import metrics
from magnoliaroad.programs.call import Call
from magnoliaroad.programs.engine_cache_client import EngineCacheClient
from magnoliaroad.programs.ids import new_program_id
from magnoliaroad.programs.messages import (
    AttemptCheckReply,
    AttemptCheckRequest,
    ProgramEndRequest,
    ProgramLivenessReply,
    ProgramLivenessRequest,
    ProgramReply,
    ProgramStartRequest,
    ProgramStateRequest,
    ReleaseReply,
    ReleaseRequest,
    TurnBeginReply,
    TurnBeginRequest,
    TurnFinishRequest,
)
from magnoliaroad.programs.outcome import Outcome
from magnoliaroad.programs.owner import ProgramOwner
from magnoliaroad.programs.owner_client import OwnerClient
from magnoliaroad.programs.program import Program
from magnoliaroad.programs.program_table import ProgramTable
from magnoliaroad.programs.refusals import no_owner, program_unknown
from magnoliaroad.programs.releaser import Releaser
from magnoliaroad.programs.settings import ProgramSettings
from magnoliaroad.programs.singles import begin_single
from magnoliaroad.programs.turn import Turn
from magnoliaroad.refusal import Refusal
from magnoliaroad.targets import TargetClient
from magnoliaroad.verdict import Verdict

# Time allowed for the owner's reply beyond the time that the owner itself waits.
REPLY_MARGIN_S = 2.0
ATTEMPT_BYTES = 12


class ProgramService(Service):
    """Starts and ends programs and their turns through the owners of the programs.

    Args:
        cfg: Settings of programs.
        host: Name of this host.
        data_centre: Data centre of this host.
        config: Configuration in force.
        groups: Provides the owners of groups and stores records.
        peers: Sends messages to other hosts.
        targets: Sends requests to engines.
        clock: Returns monotonic time in seconds.
    """

    def __init__(
        self,
        cfg: ProgramSettings,
        host: str,
        data_centre: str,
        config: ConfigService,
        groups: Groups,
        peers: Peers,
        targets: TargetClient,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        super().__init__()
        self.cfg = cfg
        self.host = host
        self.data_centre = data_centre
        self.owner = ProgramOwner(cfg, groups, clock)
        self._clock = clock
        self._config = config
        self._client = OwnerClient(cfg, host, groups, peers)
        self.releaser = Releaser(cfg, groups, config, self.owner, self._client)
        self.engine_caches = EngineCacheClient(
            cfg, groups, config, targets, self._client
        )
        self._running_attempts: set[str] = set()
        self._silent_since: dict[str, float] = {}
        self._last_checked_s: dict[str, float] = {}
        self._withdrawals: set[asyncio.Task[Any]] = set()
        self._register_handlers()

    async def begin(self, call: Call) -> Result[Turn, Refusal]:
        """Admits ``call`` as the next turn of its program.

        Waits for an earlier turn of the same program. A turn that was
        admitted must be finished.
        """
        budget = self._config.current.teams[call.team].program_budget
        if call.single:
            return begin_single(call, budget, self.cfg.answer_tokens)
        attempt = secrets.token_urlsafe(ATTEMPT_BYTES)
        self._running_attempts.add(attempt)
        started = time.monotonic()
        message = TurnBeginRequest(call, attempt, self.host, budget)
        reply = None
        try:
            reply = await self._client.ask_owner(
                call.program,
                message,
                self.cfg.owner_wait_s,
                self.cfg.order_wait_s + REPLY_MARGIN_S,
            )
        finally:
            if reply is None or not reply.reserved:
                self._withdraw(call.program, attempt, owner_replied=reply is not None)
        metrics.BEGIN_SECONDS.observe({}, time.monotonic() - started)
        return _turn_result(call, attempt, reply)

    async def finish(self, turn: Turn, outcome: Outcome) -> bool:
        """Settles the budget and records the answer of ``turn``.

        Returns whether the end was recorded; only then may the caller see
        the turn as answered.
        """
        metrics.TURNS.inc({"outcome": outcome.verdict.value})
        if not turn.attempt:
            self.releaser.add_single(turn.program, outcome.target)
            return True
        message = TurnFinishRequest(turn.program, turn.attempt, outcome)
        try:
            reply = await self._client.ask_owner(
                turn.program, message, self.cfg.finish_wait_s
            )
        finally:
            self._running_attempts.discard(turn.attempt)
        return reply is not None and reply.succeeded

    async def start_program(self, team: str) -> Result[str, Refusal]:
        """Starts a program with this data centre as its home and returns its id."""
        program = new_program_id(self.data_centre)
        budget = self._config.current.teams[team].program_budget
        message = ProgramStartRequest(program, team, budget)
        result = await self._ask_owner(program, message)
        return result.map(lambda reply: program)

    async def end(self, program: str, team: str) -> Result[None, Refusal]:
        """Ends ``program`` and its children, so that engines release them."""
        result = await self._ask_owner(program, ProgramEndRequest(program, team))
        return result.map(lambda reply: None)

    async def program_state(
        self, program: str, team: str
    ) -> Result[dict[str, Any], Refusal]:
        """Returns the state and history of ``program``."""
        result = await self._ask_owner(program, ProgramStateRequest(program, team))
        return result.map(lambda reply: reply.state)

    async def sweep(self) -> None:
        """Ends idle programs, settles lost turns and requests due releases."""
        await self.owner.end_idle()
        await self._check_turns()
        await self.releaser.release_due()
        tables = self.owner.tables()
        metrics.KNOWN_PROGRAMS.set({}, sum(len(table.programs) for table in tables))
        metrics.OPEN_TURNS.set({}, len(self._open_turns()))

    async def on_stop(self) -> None:
        """Cancels withdrawals that are still in progress."""
        for task in list(self._withdrawals):
            task.cancel()

    @background_task
    async def _sweep(self) -> None:
        while not self.should_stop:
            await self.sleep(self.cfg.sweep_interval_s)
            await self.sweep()

    @background_task
    async def _sweep_engines(self) -> None:
        while not self.should_stop:
            await self.sleep(self.cfg.engine_sweep_s)
            await self.engine_caches.sweep()

    def _register_handlers(self) -> None:
        on = self._client.on
        on(TurnBeginRequest, self.owner.begin, TurnBeginReply)
        on(TurnFinishRequest, self.owner.finish, ProgramReply)
        on(ProgramStartRequest, self.owner.start, ProgramReply)
        on(ProgramEndRequest, self.owner.end, ProgramReply)
        on(ProgramStateRequest, self._on_state_request, ProgramReply)
        on(AttemptCheckRequest, self._on_attempt_check, AttemptCheckReply)
        on(ProgramLivenessRequest, self._on_liveness_request, ProgramLivenessReply)
        on(ReleaseRequest, self.engine_caches.release, ReleaseReply)

    async def _ask_owner(self, program: str, message: Any) -> Result[Any, Refusal]:
        reply = await self._client.ask_owner(program, message, self.cfg.owner_wait_s)
        if reply is None:
            return Failure(no_owner(program))
        return Success(reply) if reply.succeeded else Failure(program_unknown(program))

    def _withdraw(self, program: str, attempt: str, owner_replied: bool) -> None:
        """Withdraws a turn that will not run; its owner may have begun it."""
        self._running_attempts.discard(attempt)
        if owner_replied:
            return
        message = TurnFinishRequest(program, attempt, Outcome(Verdict.NOT_RUN))
        request = self._client.ask_owner(program, message, self.cfg.finish_wait_s)
        task = asyncio.create_task(request)
        self._withdrawals.add(task)
        task.add_done_callback(self._withdrawals.discard)

    def _open_turns(self) -> list[tuple[ProgramTable, Program]]:
        return [
            (table, program)
            for table in self.owner.tables()
            for program in table.programs.values()
            if program.open_turn is not None
        ]

    async def _check_turns(self) -> None:
        """Asks entry hosts about old turns and settles those that are lost."""
        now = self._clock()
        by_host: dict[str, list[tuple[ProgramTable, Program]]] = defaultdict(list)
        for table, program in self._open_turns():
            if now - program.open_turn.recorded_at_s >= self.cfg.turn_check_s:
                by_host[program.open_turn.host].append((table, program))
        for host in set(self._silent_since) - set(by_host):
            del self._silent_since[host]
        self._last_checked_s = {
            h: at for h, at in self._last_checked_s.items() if h in by_host
        }
        due = {h: turns for h, turns in by_host.items() if self._is_due(h, now)}
        await asyncio.gather(*(self._check_host(h, t) for h, t in due.items()))

    def _is_due(self, host: str, now: float) -> bool:
        """Whether to ask ``host`` now; a silent host is asked in every sweep."""
        last_s = self._last_checked_s.get(host)
        interval_passed = last_s is None or now - last_s >= self.cfg.turn_check_s
        return interval_passed or host in self._silent_since

    async def _check_host(
        self, host: str, turns: list[tuple[ProgramTable, Program]]
    ) -> None:
        attempts = tuple(program.open_turn.attempt for _, program in turns)
        self._last_checked_s[host] = self._clock()
        reply = await self._client.call(
            host, AttemptCheckRequest(attempts), self.cfg.sweep_interval_s
        )
        lost = self._lost_attempts(host, reply, attempts)
        for (table, program), attempt in zip(turns, attempts, strict=True):
            turn = program.open_turn
            if turn is not None and turn.attempt == attempt and attempt in lost:
                metrics.LAPSED_TURNS.inc({})
                await self.owner.settle_lapsed(table, program)

    def _lost_attempts(
        self, host: str, reply: AttemptCheckReply | None, attempts: tuple[str, ...]
    ) -> set[str]:
        now = self._clock()
        if reply is not None:
            self._silent_since.pop(host, None)
            return set(reply.inactive)
        since = self._silent_since.setdefault(host, now)
        return set(attempts) if now - since >= self.cfg.turn_lease_s else set()

    async def _on_state_request(self, message: ProgramStateRequest) -> ProgramReply:
        return self.owner.state(message)

    async def _on_attempt_check(
        self, message: AttemptCheckRequest
    ) -> AttemptCheckReply:
        return AttemptCheckReply(
            tuple(a for a in message.attempts if a not in self._running_attempts)
        )

    async def _on_liveness_request(
        self, message: ProgramLivenessRequest
    ) -> ProgramLivenessReply:
        return self.owner.liveness(message.programs)


def _turn_result(
    call: Call, attempt: str, reply: TurnBeginReply | None
) -> Result[Turn, Refusal]:
    if reply is None:
        return Failure(no_owner(call.program))
    if reply.refusal is not None:
        return Failure(reply.refusal)
    messages = call.messages if reply.messages is None else reply.messages
    return Success(
        Turn(
            call.program,
            reply.number,
            messages,
            reply.max_tokens,
            reply.reserved,
            attempt,
            reply.answer,
        )
    )
