"""Runs one chat request: begins its turn, picks a target, relays the answer."""

import asyncio
import time
from typing import Any

from loguru import logger

from magnoliaroad.entry.admission import unwrap
from magnoliaroad.entry.chat_request import ChatRequest, engine_request, resume_request
from magnoliaroad.entry.completion import Completion, CompletionBuilder
from magnoliaroad.entry.events import EventSplitter, ResumePoint
from magnoliaroad.entry.progress import Progress
from magnoliaroad.entry.recent_text import recent_text
from magnoliaroad.entry.refused import (
    ANSWER_NOT_HELD,
    Refused,
    target_failed,
    target_rejected,
)
from magnoliaroad.entry.replayed_answer import replayed_completion, replayed_events
from magnoliaroad.entry.reply import Reply
from magnoliaroad.entry.services import EntryServices
from magnoliaroad.entry.settings import EntrySettings
from magnoliaroad.programs import Call, Outcome, Turn
from magnoliaroad.programs.refusals import turn_not_kept
from magnoliaroad.programs.tokens import estimate_tokens
from magnoliaroad.quarantine import fingerprint_of
from magnoliaroad.relay.event_scanner import StreamTooLong
from magnoliaroad.relay.request_memory import HeldMemory
from magnoliaroad.routing import Job, Placement, Usage
from magnoliaroad.routing.prefix import prefix_digests
from magnoliaroad.targets import (
    AnswerCut,
    RequestEnd,
    TargetError,
    TargetResponse,
    classify_failure,
)
from magnoliaroad.verdict import Verdict

# Default of max_tokens for callers without a key, who have no token budget.
ANONYMOUS_MAX_TOKENS = 1024
# Most bytes of an answer that are kept, as its turn's history is sent with later ones.
MAX_ANSWER_BYTES = 4_194_304
ENGINE_REQUEST_HEADER = "X-Engine-Request-Id"

# Statuses that engines return before they start to run a request.
BUSY_STATUSES = frozenset({429, 503})
REJECTED_STATUSES = frozenset({400, 404, 413, 422})


class ChatRun:
    """One chat request and its attempts on targets.

    Args:
        cfg: Limits on requests.
        services: Services that it uses.
        chat: The request.
        reply: Returns the answer to the caller.
        held: The memory of the answer.

    Attributes:
        progress: Whether a target may have run the request.
    """

    def __init__(
        self,
        cfg: EntrySettings,
        services: EntryServices,
        chat: ChatRequest,
        reply: Reply,
        held: HeldMemory,
    ) -> None:
        self.cfg = cfg
        self.services = services
        self.chat = chat
        self.reply = reply
        self.progress = Progress()
        self._held = held
        self._failed_targets: set[str] = set()
        self._fingerprint = ""
        self._target = ""

    async def run(self) -> Completion:
        """Returns the complete answer after its turn has been recorded.

        Raises:
            Refused: The request was refused, failed or got no complete answer, or
                its turn could not be recorded.
        """
        turn = await self._begin_turn()
        if turn.answer is not None:
            return await self._replay(turn.answer)
        outcome = Outcome(Verdict.MAY_HAVE_RUN)
        try:
            self._check_quarantine(turn)
            completion = await self._try_targets(turn)
            outcome = _turn_outcome(completion, self._target)
        except Refused as exc:
            outcome = Outcome(exc.refusal.verdict, target=self._target)
            raise
        except asyncio.CancelledError:
            outcome = Outcome(self.progress.verdict, target=self._target)
            raise
        finally:
            # Shielded, because the turn must be recorded even if the caller
            # disconnects and the task is cancelled.
            kept = await asyncio.shield(self._finish_turn(turn, outcome))
        if not kept:
            raise Refused(turn_not_kept(turn.program))
        return completion

    async def _replay(self, answer: dict[str, Any]) -> Completion:
        """Replays the stored answer of a turn that was sent again."""
        completion = replayed_completion(self.chat.request_id, answer)
        await self.reply.write(replayed_events(self.chat.model, completion))
        return completion

    def _check_quarantine(self, turn: Turn) -> None:
        text = recent_text(turn.messages)
        self._fingerprint = fingerprint_of(self.chat.model, text)
        unwrap(self.services.quarantine.check(self._fingerprint))

    async def _begin_turn(self) -> Turn:
        chat = self.chat
        max_tokens = chat.body.get("max_tokens") or 0
        if not chat.caller.team:
            return Turn(
                "", 1, chat.body["messages"], max_tokens or ANONYMOUS_MAX_TOKENS, 0
            )
        call = Call(
            program=chat.program,
            team=chat.caller.team,
            messages=chat.body["messages"],
            max_tokens=max_tokens,
            turn=chat.turn,
            parent=chat.parent,
            route=chat.model,
            new_only=chat.new_only,
            extra_bytes=chat.extra_bytes,
            single=chat.single and not chat.parent,
        )
        return unwrap(await self.services.programs.begin(call))

    async def _finish_turn(self, turn: Turn, outcome: Outcome) -> bool:
        if not turn.program:
            return True
        kept = await self.services.programs.finish(turn, outcome)
        if self.chat.single and self.chat.parent:
            await self.services.programs.end(turn.program, self.chat.caller.team)
        return kept

    async def _try_targets(self, turn: Turn) -> Completion:
        now, limit_s = time.monotonic(), self.services.targets.cfg.first_byte_timeout_s
        self.services.drain.fit(now, now + (self.chat.deadline_s or limit_s))
        for attempt in range(1, self.cfg.attempts + 1):
            job = self._make_job(turn)
            placement = unwrap(await self.services.placement.acquire(job))
            try:
                return await self._run_on_target(turn, placement)
            except TargetError as exc:
                self._record_failure(placement, exc, attempt)
                self.progress.verdict = exc.verdict
                last = exc
            if not last.verdict.may_retry or not self.services.placement.withdraw_retry(
                job
            ):
                break
        raise Refused(target_failed(last)) from last

    def _make_job(self, turn: Turn) -> Job:
        return Job(
            request_id=self.chat.request_id,
            program=self.chat.program,
            team=self.chat.caller.team,
            route=self.chat.model,
            prompt_tokens=estimate_tokens(turn.messages),
            max_tokens=turn.max_tokens,
            prefix=prefix_digests(turn.messages),
            excluded=frozenset(self._failed_targets),
            deadline_s=self.chat.deadline_s,
        )

    async def _run_on_target(self, turn: Turn, placement: Placement) -> Completion:
        name = placement.target.name
        usage, end = Usage(), RequestEnd.UNKNOWN
        self.services.quarantine.request_started(name, self._fingerprint)
        try:
            completion = await self._send_to_engine(turn, placement)
            usage, end = completion.usage, RequestEnd.COMPLETED
            return completion
        except TargetError as exc:
            usage, end = Usage(failed=True), classify_failure(exc)
            raise
        finally:
            self.services.placement.release(placement, usage)
            self.services.quarantine.request_ended(
                name, self._fingerprint, end, self.chat.model
            )

    async def _send_to_engine(self, turn: Turn, placement: Placement) -> Completion:
        self.progress.verdict = Verdict.MAY_HAVE_RUN
        self._target = placement.target.name
        try:
            response = await self.services.targets.open(
                engine_request(self.chat, turn, placement),
                self.services.drain.time_limit_s(
                    time.monotonic(), self.services.targets.cfg.first_byte_timeout_s
                ),
            )
        except TargetError as exc:
            self.progress.verdict = exc.verdict
            raise
        splitter, builder = EventSplitter(), CompletionBuilder()
        engine_request_id = response.headers.get(ENGINE_REQUEST_HEADER, "")
        for _ in range(self.cfg.resumes):
            try:
                return await self._relay_stream(response, splitter, builder)
            except AnswerCut:
                resume_point = _resume_point(engine_request_id, splitter)
                if resume_point is None:
                    raise
            response = await self._resume(placement, resume_point)
        return await self._relay_stream(response, splitter, builder)

    async def _resume(
        self, placement: Placement, resume_point: ResumePoint
    ) -> TargetResponse:
        log = logger.bind(request=self.chat.request_id, target=placement.target.name)
        log.bind(**resume_point._asdict()).warning(
            "stream interrupted, requesting resume"
        )
        req = resume_request(self.chat, placement.target.url, resume_point)
        try:
            response = await self.services.targets.open(req)
        except TargetError as exc:
            raise AnswerCut(f"stream not resumed: {exc}") from exc
        if response.status != 200:
            response.close()
            raise AnswerCut(f"stream not resumed: status {response.status}")
        return response

    async def _relay_stream(
        self,
        response: TargetResponse,
        splitter: EventSplitter,
        builder: CompletionBuilder,
    ) -> Completion:
        try:
            _check_status(response)
            async for piece in response.iter_chunks():
                events = splitter.feed(piece)
                builder.add(events)
                self._hold(builder.size_bytes + splitter.unfinished_bytes)
                await self.reply.write(events)
        except StreamTooLong as exc:
            text = f"stream without end: {exc}"
            raise TargetError(text, Verdict.MAY_HAVE_RUN) from exc
        finally:
            response.close()
        if not splitter.done:
            raise AnswerCut("stream ended without [DONE]")
        return builder.build()

    def _hold(self, size: int) -> None:
        """Takes memory for what is kept of the answer.

        Raises:
            Refused: The requests of the host hold too much.
            StreamTooLong: The answer is too large.
        """
        if size > MAX_ANSWER_BYTES:
            raise StreamTooLong(f"more than {MAX_ANSWER_BYTES} B")
        try:
            self._held.grow_to(size)
        except Refused as exc:
            raise Refused(ANSWER_NOT_HELD) from exc

    def _record_failure(
        self, placement: Placement, exc: TargetError, attempt: int
    ) -> None:
        self._failed_targets.add(placement.target.name)
        logger.bind(
            request=self.chat.request_id,
            target=placement.target.name,
            attempt=attempt,
            verdict=exc.verdict.value,
            reason=str(exc),
        ).warning("target failed")


def _resume_point(
    engine_request_id: str, splitter: EventSplitter
) -> ResumePoint | None:
    last_event = splitter.last_event_id()
    if not engine_request_id or last_event is None:
        return None
    splitter.drop_partial()
    return ResumePoint(engine_request_id, last_event)


def _turn_outcome(completion: Completion, target: str) -> Outcome:
    usage = completion.usage
    tokens = usage.prompt_tokens + usage.completion_tokens
    return Outcome(Verdict.RAN, completion.message, tokens, usage.prompt_tokens, target)


def _check_status(response: TargetResponse) -> None:
    response.check_is_own()
    status = response.status
    if status == 200:
        return
    # Engines state no request id: if this is the answer to an earlier request, that to
    # this one is still to come.
    response.close_connection()
    if status in BUSY_STATUSES:
        raise TargetError(f"engine answered with status {status}", Verdict.NOT_RUN)
    if status in REJECTED_STATUSES:
        raise Refused(target_rejected(status))
    raise TargetError(f"engine answered with status {status}", Verdict.MAY_HAVE_RUN)
