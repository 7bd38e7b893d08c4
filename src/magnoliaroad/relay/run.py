"""Places one relayed request, sends it and passes the answer on."""

import asyncio
import random
import time
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager

from aiohttp import HttpVersion11, web
from loguru import logger
from returns.pipeline import is_successful

from magnoliaroad.caller_connection import end_by_close
from magnoliaroad.decoding import can_be_sent
from magnoliaroad.drain_limit import DrainLimit
from magnoliaroad.hedging.hedged_send import HedgedSend
from magnoliaroad.homes import (
    allowed_regions,
    data_centres_in,
    must_stay_at_host,
)
from magnoliaroad.quarantine import exact_fingerprint
from magnoliaroad.refusal import Refusal, Refused
from magnoliaroad.relay.admission import AdmittedCall
from magnoliaroad.relay.detour_client import NoPath
from magnoliaroad.relay.dialect import AnswerHead
from magnoliaroad.relay.event_scanner import (
    EventLimits,
    EventScanner,
    StreamTooLong,
)
from magnoliaroad.relay.metrics import (
    FIRST_BYTE,
    RESUMED_STREAMS,
    SENDS,
)
from magnoliaroad.relay.offers import Offers
from magnoliaroad.relay.open_answer import OpenAnswer
from magnoliaroad.relay.parts import RelayParts
from magnoliaroad.relay.placer import NoTarget, PlacementNeed
from magnoliaroad.relay.plan import RelayTeam, pick_service
from magnoliaroad.relay.refusals import (
    NO_PATH,
    NO_TARGET_IN_REGION,
    NO_TARGET_OF_VERSION,
    NOT_RESUMABLE,
    NOT_SENT_IN_TIME,
    STREAM_UNKNOWN,
    TARGET_FAILED,
    TARGETS_FULL,
    TARGETS_OUTDATED,
    TIMED_OUT,
    as_unavailable,
    bad_call,
    over_limit,
    turns_not_kept,
)
from magnoliaroad.relay.request_memory import HeldMemory
from magnoliaroad.relay.reservation import Reservation
from magnoliaroad.relay.route_durations import RouteDurations
from magnoliaroad.relay.route_kind import RouteKind
from magnoliaroad.relay.stream_origin import StreamOrigin
from magnoliaroad.relay.target import RelayTarget
from magnoliaroad.relay.team_limiter import AdmissionDecision
from magnoliaroad.relay.turn import LoadedTurn
from magnoliaroad.target_model.expected_end import Choice
from magnoliaroad.target_model.stream_pace import StreamPace
from magnoliaroad.targets import (
    AnswerCut,
    RequestEnd,
    TargetAnswer,
    TargetError,
    TargetRequest,
    classify_failure,
)
from magnoliaroad.verdict import Verdict
from magnoliaroad.waiting.request_room import RequestRoom

# Most targets that one request is offered to. Targets that refuse it or cannot be
# reached do not count as attempts, so the route's limit alone does not bound these.
MAX_OFFERS = 4
# Shortest remaining time with which a request is still sent, in seconds.
MIN_SEND_TIME_S = 0.02
# First and longest cooldown of a target that failed, in seconds; it gets no new work
# meanwhile. The first lasts until all hosts of a large fleet know of the failure.
COOLDOWN_S = 0.5
MAX_COOLDOWN_S = 4.0
# Events of an engine's stream beyond one for each announced output token, such as those
# that report usage or the end.
SPARE_EVENTS = 16


class RelayRun:
    """Chooses a target for a request, sends it and passes the answer on.

    Args:
        parts: Components of the host.
        admitted: The call with its route and team.
        req: The caller's request.
        held: The memory that the request holds.
        began: Monotonic time at which its headers arrived, in seconds.
        should_close: Returns whether an answer that begins now is to end the caller's
            connection.
        drain: Limits the time of requests while the host stops.
        durations: How long requests of its route have taken.

    Raises:
        Refused: The host stops before the request would have to end.
    """

    def __init__(
        self,
        parts: RelayParts,
        admitted: AdmittedCall,
        req: web.BaseRequest,
        held: HeldMemory,
        began: float,
        should_close: Callable[[], bool],
        drain: DrainLimit,
        durations: RouteDurations,
    ) -> None:
        self.parts = parts
        self.admitted = admitted
        self.call = admitted.call
        self.route = admitted.route
        self.began = began
        limit_s = self.route.timeout_s
        if self.call.time_left_s is not None:
            limit_s = min(limit_s, self.call.time_left_s)
        expected_s = durations.longest_s(self.route.name)
        self.deadline = drain.fit(time.monotonic(), began + limit_s, expected_s)
        self.resp: web.StreamResponse | None = None
        self._req = req
        # Targets that may have run the request, also those of attempts under way.
        self._ran_at: set[str] = set()
        self._held = held
        self.answer_held = held.beside()
        self.second_held = held.beside()
        self._output_held = held.beside()
        self._should_close = should_close
        self._limit: asyncio.Timeout | None = None
        self._previous: LoadedTurn | None = None
        self._placed = ""
        self._expected_s = 0.0
        self._sent_at: dict[str, float] = {}
        self._origin: StreamOrigin | None = None
        self._reservation: Reservation | None = None
        self._admission: AdmissionDecision | None = None
        self._regions = allowed_regions(self.route, admitted.team)
        self._data_centres = data_centres_in(self._regions, parts.cfg.regions)
        self._affinity_key = (
            self.call.program or self.call.session or self.call.request_id
        )
        self._service = pick_service(self.route, self._affinity_key)
        self._room = RequestRoom(parts, admitted, self._service, began)
        self._scanner = EventScanner()
        self._scans = False
        self.fingerprint = self._fingerprint(self.call.body)

    def _fingerprint(self, *body: bytes) -> str:
        """Returns the fingerprint of the request with the body that targets get."""
        call = self.call
        return exact_fingerprint(self.admitted.team_name, call.method, call.path, *body)

    @property
    def sent(self) -> bool:
        """Whether a target may have run the request."""
        return bool(self._ran_at)

    @property
    def streams(self) -> bool:
        """Whether the answer is passed on as it arrives."""
        return self.route.kind is RouteKind.STREAM

    @property
    def _stays_here(self) -> bool:
        """Whether some hosts must not see the body, so that none is given a copy."""
        if self._data_centres is None:
            return False
        cfg, turns = self.parts.cfg, self.parts.turns
        known = {*cfg.regions, *cfg.data_centres, *turns.data_centres}
        return must_stay_at_host(self._data_centres, known)

    async def run(self) -> web.StreamResponse:
        """Returns the answer after it was sent to the caller.

        Raises:
            Refused: No target gave an answer.
        """
        try:
            limit_s = self.deadline - time.monotonic()
            async with asyncio.timeout(limit_s) as self._limit:
                await self._prepare()
                with self.answer_held, self.second_held, self._output_held:
                    return await self._send_and_relay()
        except TimeoutError as exc:
            begun, expired = self.resp is not None, self._limit.expired()
            reason = "turn not kept in time" if begun and not expired else "time limit"
            refusal = TIMED_OUT if self.sent else NOT_SENT_IN_TIME
            raise Refused(refusal, reason=reason) from exc
        finally:
            self._limit = None
            self._settle_charges()

    def end_by(self, deadline: float) -> None:
        """Moves the time limit forward; without effect once the whole answer is there.

        Args:
            deadline: Monotonic time in seconds.
        """
        if deadline >= self.deadline:
            return
        self.deadline = deadline
        limit = self._limit
        if limit is not None and limit.when() is not None and not limit.expired():
            left_s = deadline - time.monotonic()
            limit.reschedule(asyncio.get_running_loop().time() + left_s)

    def _lift_limit(self) -> None:
        """Ends the time limit once the whole answer is there to be delivered."""
        if self._limit is not None and not self._limit.expired():
            self._limit.reschedule(None)

    def _refuse_quarantined(self) -> None:
        """Raises ``Refused`` if the request is quarantined for crashing targets."""
        result = self.parts.quarantine.check(self.fingerprint)
        if not is_successful(result):
            raise self._refusal_error(as_unavailable(result.failure()))

    def _refuse_unkept_turn(self) -> None:
        """Raises ``Refused`` if the answer is to be kept and cannot become durable."""
        if not self.route.keeps_turns:
            return
        if not self.parts.turns.can_save(self._stays_here):
            raise Refused(turns_not_kept(self.parts.diverted_in_s()))

    def _refusal_error(self, refusal: Refusal) -> Refused:
        """Returns the error for a request that is sent to no further target.

        Args:
            refusal: The refusal to use if no target can have run the request.
        """
        return Refused(TARGET_FAILED if self.sent else refusal)

    async def _prepare(self) -> None:
        call, team = self.call, self.admitted.team
        continues = self.route.keeps_turns and call.previous_turn
        if not continues:
            self._refuse_quarantined()
        self._refuse_unkept_turn()
        self._room.starts_program = self._may_start_program()
        await self._room.admit_program(self._data_centres)
        if self.streams and not can_be_sent(call.program + call.request_id):
            raise Refused(bad_call("The ids of a stream must be UTF-8."))
        if team is not None:
            await self._acquire_token(team)
        if continues:
            self._previous = await self.parts.turns.load(
                call.previous_turn,
                self.admitted.team_name,
                self._held.grow,
                self._stays_here,
            )
            self._bind_to(self._previous.turn.regions)
            # The body that joins the chain, which was counted, with the new text.
            self._held.grow(len(call.body))
            # Turns that say the same are different requests in different conversations.
            self.fingerprint = self._fingerprint(self._previous.text, call.body)
            self._refuse_quarantined()
        if self.streams and call.resume_after is not None:
            await self._restrict_to_origin()
        if self.streams and call.program:
            self._placed = await self.parts.program_targets.find(call.program)
            if self._placed:
                self._room.starts_program = False
        if self.streams and call.budget is not None and call.program:
            self._reservation = await self.parts.budgets.reserve(
                call.program, call.budget, call.output_tokens
            )

    def _bind_to(self, regions: tuple[str, ...]) -> None:
        """Binds the request to the regions of the turn that it continues, too."""
        if not regions:
            return
        bound = frozenset(regions)
        self._regions = bound if self._regions is None else self._regions & bound
        self._data_centres = data_centres_in(self._regions, self.parts.cfg.regions)

    async def _restrict_to_origin(self) -> None:
        """Restricts the targets to those that may continue the stream.

        Raises:
            Refused: Streams of the route cannot be resumed, nobody in reach knows who
                began this one, or the route no longer leads to that service.
        """
        # A kept turn needs the whole answer, and this host gets only its end.
        if not self.route.resumable or self.route.keeps_turns:
            raise Refused(NOT_RESUMABLE)
        stream = self.call.resumed_stream
        origin = await self.parts.stream_origins.find(stream)
        RESUMED_STREAMS.inc({"origin": "unknown" if origin is None else "known"})
        logger.bind(
            request=self.call.request_id,
            stream=stream,
            after=self.call.resume_after,
            origin=origin,
        ).info("stream to resume")
        if origin is None:
            raise Refused(STREAM_UNKNOWN)
        if not self.parts.targets_current():
            raise Refused(TARGETS_OUTDATED)
        if origin.service not in {share.service for share in self.route.services}:
            raise Refused(NO_TARGET_OF_VERSION)
        self._origin = origin
        self._service = self._room.service = origin.service

    def _over_limit_error(
        self, team: RelayTeam, decision: AdmissionDecision
    ) -> Refused:
        refusal = over_limit(team.name, decision.wait_s)
        counter = decision.host
        return Refused(
            refusal, limit=team.rate, counter=counter, **decision.bucket_state
        )

    async def _acquire_token(self, team: RelayTeam) -> None:
        cfg = self.parts.cfg.quota
        starts_program = self._may_start_program()
        wait_deadline = min(self.began + cfg.longest_wait_s, self.deadline)
        while True:
            decision = await self.parts.limiter.admit(team, starts_program)
            if not decision.wait_s:
                break
            if starts_program:
                if not await self.parts.budgets.has_program(self.call.program):
                    raise self._over_limit_error(team, decision)
                starts_program = False
                continue
            if time.monotonic() + decision.wait_s > wait_deadline:
                raise self._over_limit_error(team, decision)
            # Jitter: requests that wait for the same token do not retry together.
            await asyncio.sleep(decision.wait_s * random.uniform(1.0, 1.3))
        self._admission = decision
        if self.call.program:
            self.parts.programs.add(self.call.program, True)

    def _may_start_program(self) -> bool:
        """Returns whether the request may be the first of a program."""
        call = self.call
        if not call.program or not self.streams or call.previous_turn:
            return False
        return call.program not in self.parts.programs

    def _settle_charges(self) -> None:
        if self._admission is not None and not self.sent:
            self.parts.limiter.refund(self.admitted.team, self._admission)
        if self._reservation is None:
            return
        service = self.admitted.plan.services.get(self._service)
        tokens_per_event = 1 if service is None else max(1, service.tokens_per_event)
        # A stream beyond the announced output tokens is charged in full.
        used = self._scanner.count * tokens_per_event
        self._reservation.settle(used)

    async def _send_and_relay(self) -> web.StreamResponse:
        async with self._open_answer() as opened:
            head, response = opened.head, opened.response
            logger.bind(
                request=self.call.request_id,
                route=self.route.name,
                plan=self.admitted.plan.version,
                team=self.admitted.team_name,
                program=self.call.program,
                target=opened.target.name,
                status=response.status,
                load=head.load,
                took_s=round(time.monotonic() - self.began, 4),
            ).info("answer begun")
            if not opened.complete:
                return await self._relay_stream(opened)
        return await self._relay_buffered(opened)

    @asynccontextmanager
    async def _open_answer(self) -> AsyncIterator[OpenAnswer]:
        offers, sender = Offers(), self.parts.sender
        while True:
            self._refuse_quarantined()
            target = await self._next_target(offers)
            self.record_start(target)
            response, end = None, None
            was_cut = sender.is_cut(target.service)
            try:
                if self.parts.hedging.may_hedge(self.route, offers.attempts):
                    opened = await HedgedSend(self, offers).send(target)
                    target = opened.target
                else:
                    opened = await self.send(target, offers.attempts, self.answer_held)
                response = opened.response
                FIRST_BYTE.observe(
                    {"kind": self.route.kind.value}, time.monotonic() - self.began
                )
                yield opened
                end = RequestEnd.COMPLETED
                return
            except NoPath as exc:
                raise self._refusal_error(NO_PATH) from exc
            except TargetError as exc:
                end = self.record_failed(target, exc, was_cut, offers.record_failure)
                may_retry = (
                    self._may_retry(exc.verdict)
                    and offers.attempts < self.route.attempts
                )
                if self.resp is not None or not may_retry:
                    timed_out = isinstance(exc.__cause__, TimeoutError)
                    raise Refused(TIMED_OUT if timed_out else TARGET_FAILED) from exc
            finally:
                if response is not None:
                    response.close()
                self.record_end(target, end)

    def record_failed(
        self,
        target: RelayTarget,
        exc: TargetError,
        was_cut: bool,
        record: Callable[[str, TargetError, bool], bool],
    ) -> RequestEnd:
        """Records that an attempt has failed; returns how it ended.

        Args:
            target: Target of the attempt.
            exc: How it failed.
            was_cut: Whether the host was cut off from the service before.
            record: Records it for the offers; returns whether the target is to blame.
        """
        path_lost = not was_cut and self.parts.sender.is_cut(target.service)
        blamed = record(target.name, exc, path_lost)
        self._record_failure(target, exc, blamed)
        return classify_failure(exc)

    async def _next_target(self, offers: Offers) -> RelayTarget:
        """Returns the next target to offer the request to.

        Raises:
            Refused: There is none, and the request does not wait for room, or has
                waited too long.
        """
        if not offers.excluded and not await self._room.wait_behind_others(
            self.deadline
        ):
            raise self._refusal_error(self._room.refusal())
        while True:
            if offers.count < MAX_OFFERS:
                try:
                    return await self._place(offers.excluded)
                except Refused as exc:
                    if exc.refusal is not TARGETS_FULL:
                        raise
            if not offers.found_full_only:
                raise self._refusal_error(TARGETS_FULL)
            if not await self._room.wait(self.deadline):
                raise self._refusal_error(self._room.refusal())
            offers.readmit_full()

    def record_start(self, target: RelayTarget) -> None:
        """Records that the request is sent to a target."""
        self.parts.table.record_start(target.name)
        self.parts.quarantine.request_started(target.name, self.fingerprint)

    def record_end(self, target: RelayTarget, end: RequestEnd | None) -> None:
        """Records the end of a request at a target.

        Args:
            target: The target.
            end: How it ended; ``None`` if the caller disconnected or the time limit
                passed.
        """
        if end is None:
            sent = target.name in self._ran_at
            end = RequestEnd.UNANSWERED if sent else RequestEnd.UNKNOWN
        self.parts.table.record_end(target.name)
        if end is RequestEnd.COMPLETED:
            self.parts.waiting.record_end(target.service)
        self.parts.quarantine.request_ended(
            target.name,
            self.fingerprint,
            end,
            self.route.name,
            target.started_ms,
        )

    def _may_retry(self, verdict: Verdict) -> bool:
        return verdict.may_retry or self.route.repeatable

    def need(self) -> PlacementNeed:
        """Returns what the request needs of its target."""
        call = self.call
        return PlacementNeed(
            service=self._service,
            route=self.route.name,
            version=None if self._origin is None else self._origin.version,
            streams=self.streams,
            request_id=call.request_id,
            program=call.program,
            placed=self._placed,
            session=self._affinity_key,
            data_centres=self._data_centres,
            prompt_tokens=call.prompt_tokens,
            output_tokens=call.output_tokens,
        )

    async def _place(self, excluded: set[str]) -> RelayTarget:
        call, placer, need = self.call, self.parts.placer, self.need()
        try:
            target, candidates, choice = await placer.place(
                need, excluded, self.deadline
            )
        except NoTarget as exc:
            raise self._no_target_error(exc.refusal) from None
        # It may have been quarantined while it waited for the limit of a target.
        self._refuse_quarantined()
        placer.assign(need, target)
        self._expected_s = 0.0 if choice is None else choice.end_s
        logger.bind(
            request=call.request_id,
            target=target.name,
            service=self._service,
            load=self.parts.table.load(target.name),
            expected_s=round(self._expected_s, 4),
            expected_by=None if choice is None else _inputs_of(choice),
            candidates=candidates,
            excluded=len(excluded),
            program=call.program,
            placed=self._placed,
            version=target.version,
            resumed=call.resumed_stream,
            parts=call.prompt_parts,
            fingerprint=self.fingerprint,
        ).info("placed")
        return target

    def _no_target_error(self, refusal: Refusal) -> Refused:
        """Returns the error for a request that no target takes.

        The caller raises it at once: an error that a local variable keeps holds the
        request until garbage is collected, as its trace refers to the variable.
        """
        error = self._refusal_error(refusal)
        if refusal is NO_TARGET_IN_REGION:
            error.inputs["regions"] = sorted(self._regions or ())
        return error

    async def send(
        self, target: RelayTarget, attempts: int, held: HeldMemory
    ) -> OpenAnswer:
        """Sends the request to a target; returns its answer once that has begun.

        Args:
            target: The target.
            attempts: Targets that may have run the request before.
            held: Memory of the answer.

        Raises:
            TargetError: The target did not answer soundly.
        """
        remaining_s = self.deadline - time.monotonic() - self.parts.cfg.targets.margin_s
        if remaining_s < MIN_SEND_TIME_S:
            raise TimeoutError
        call, dialect = self.call, self.parts.dialect
        team = self.admitted.team_name
        body = call.body if self._previous is None else self._previous.text + call.body
        request = TargetRequest(
            method=call.method,
            url=f"http://{target.address}{call.path}",
            headers=dialect.target_headers(
                call, target, team, remaining_s, self._urgency()
            ),
            body=body,
        )
        sent_at, response = time.monotonic(), None
        self._sent_at[target.name] = sent_at
        try:
            response = await self.parts.sender.open(
                target,
                call.request_id,
                request,
                self._first_byte_timeout_s(remaining_s, attempts),
                lambda: self._ran_at.add(target.name),
                self._data_centres,
            )
            return await self._check_answer(target, response, sent_at, held)
        except BaseException as exc:
            if isinstance(exc, TargetError) and exc.verdict is Verdict.NOT_RUN:
                self._ran_at.discard(target.name)
            if response is not None:
                response.close()
            raise

    def _urgency(self) -> int | None:
        """Returns the urgency to state to an engine; ``None`` to state none."""
        if not self.streams or not self._room.is_active:
            return None
        return self._room.standing(self.deadline).urgency

    async def _check_answer(
        self,
        target: RelayTarget,
        response: TargetAnswer,
        sent_at: float,
        held: HeldMemory,
    ) -> OpenAnswer:
        head = self.parts.dialect.read_answer(response.headers)
        opened = OpenAnswer(target, response, head)
        opened.check_owner(self.call.request_id)
        if head.request_id:
            self._record_statements(target, head, sent_at)
        opened.check_accepted()
        if self.streams and opened.succeeded:
            return opened
        opened = await opened.buffer(held)
        if opened.complete:
            self.parts.table.record_success(target.name)
        return opened

    def _record_statements(
        self, target: RelayTarget, head: AnswerHead, sent_at: float
    ) -> None:
        """Records what the target that answered states; it may not be the one asked."""
        if head.instance and head.instance != target.name:
            known = self.parts.table.targets.get(head.instance)
            if known is None:
                return
            target = known
        self.parts.target_limiter.record_answer(target, head.limit, sent_at)
        if head.cold_s:
            now = time.monotonic()
            self.parts.table.cold.record_remaining(target, head.cold_s, now)
        if head.load is not None:
            self.parts.target_model.record_load(target, head.load, time.monotonic())
        if head.leaving:
            self._mark_leaving(target)

    def _mark_leaving(self, target: RelayTarget) -> None:
        if self.parts.table.leaving.mark(target, time.monotonic()):
            logger.bind(
                request=self.call.request_id,
                target=target.name,
                started_ms=target.started_ms,
            ).info("target leaves")
            self.parts.notify_peers()

    def _first_byte_timeout_s(self, remaining_s: float, attempts: int) -> float:
        if not self.route.repeatable or attempts + 1 >= self.route.attempts:
            return remaining_s
        return min(
            remaining_s,
            max(0.5 * remaining_s, self.parts.cfg.targets.safe_first_byte_s),
        )

    def _record_failure(
        self, target: RelayTarget, exc: TargetError, blamed: bool
    ) -> None:
        cooldown_s = 0.0
        if blamed:
            cooldown_s = self.parts.table.record_failure(
                target.name, time.monotonic(), COOLDOWN_S, MAX_COOLDOWN_S
            )
        SENDS.inc({"outcome": exc.verdict.value})
        logger.bind(
            request=self.call.request_id,
            target=target.name,
            verdict=exc.verdict.value,
            reason=str(exc),
            rest_s=cooldown_s,
            fingerprint=self.fingerprint,
        ).warning("target failed")

    async def _relay_buffered(self, opened: OpenAnswer) -> web.StreamResponse:
        headers = self.parts.dialect.answer_headers(opened.response.headers)
        resp = web.Response(
            status=opened.response.status, headers=headers, body=b"".join(opened.parts)
        )
        SENDS.inc({"outcome": "answered"})
        self._lift_limit()
        self.resp = resp
        if self._should_close():
            resp.force_close()
        await resp.prepare(self._req)
        await resp.write_eof()
        return resp

    async def _relay_stream(self, opened: OpenAnswer) -> web.StreamResponse:
        headers = self.parts.dialect.answer_headers(opened.response.headers)
        resp = web.StreamResponse(status=opened.response.status, headers=headers)
        if self._req.version >= HttpVersion11:
            resp.enable_chunked_encoding()
        self._check_origin(opened.target)
        self._scans = self.streams and opened.has_events
        self._scanner = EventScanner(self._event_limits(), self.route.keeps_turns)
        opened.response.when_complete(self._lift_limit)
        self.resp = resp
        if self._should_close():
            resp.force_close()
        await resp.prepare(self._req)
        end_by_close(self._req, resp)
        while opened.parts:
            await self._write(opened.parts.popleft())
        pace = self._pace_of(opened.target)
        try:
            await self._relay_events(opened, pace)
        finally:
            if pace is not None:
                pace.end(time.monotonic())
        if self.streams:
            opened.check_events(self._scanner)
        self.parts.table.record_success(opened.target.name)
        if pace is not None:
            self._record_turn(opened.target)
        await self._save_turn(opened)
        SENDS.inc({"outcome": "answered"})
        await resp.write_eof()
        return resp

    async def _relay_events(self, opened: OpenAnswer, pace: StreamPace | None) -> None:
        last_at, counted = time.monotonic(), 0
        async for chunk in opened.response.iter_chunks():
            arrived = time.monotonic()
            await self._write(chunk)
            now, count = time.monotonic(), self._scanner.count
            if counted and count > counted:
                gap_s = (now - last_at) / (count - counted)
                self.parts.table.record_event_gap(opened.target.name, gap_s, now)
            if count > counted:
                last_at, counted = now, count
            if pace is not None:
                pace.record(count, arrived, now)

    def _pace_of(self, target: RelayTarget) -> StreamPace | None:
        """Returns what learns from a stream; ``None`` where nothing is learnt."""
        model = self.parts.target_model
        if not self.streams or not model.is_active(target.service, time.monotonic()):
            return None
        new_tokens = 0 if self._placed == target.name else self.call.prompt_tokens
        return StreamPace(model, target, self._sent_at[target.name], new_tokens)

    def _record_turn(self, target: RelayTarget) -> None:
        call = self.call
        self.parts.target_model.record_turn(
            target.service,
            self.route.name,
            self._scanner.count,
            call.prompt_tokens + call.output_tokens,
            self._expected_s,
            time.monotonic() - self._sent_at[target.name],
        )

    def _check_origin(self, target: RelayTarget) -> None:
        """Remembers who begins a stream, or checks who continues it.

        If the target has restarted with another version since it was chosen, either one
        may have answered; the stream is then not resumed, now or later.

        Raises:
            TargetError: Another version may have continued the stream.
        """
        known = self.parts.table.targets.get(target.name, target)
        certain = known.version == target.version != ""
        if self._origin is not None and not certain:
            text = f"{target.name} restarted with version {known.version!r}"
            raise TargetError(text, Verdict.MAY_HAVE_RUN)
        if self._origin is None and certain and self.route.resumable:
            origin = StreamOrigin(target.service, target.version)
            self.parts.stream_origins.record(self.call.request_id, origin)

    def _event_limits(self) -> EventLimits:
        """Returns what a stream may carry; an engine's event has one token or more."""
        service = self.admitted.plan.services.get(self._service)
        limits = EventLimits(data_bytes=self.parts.cfg.turns.max_output_bytes)
        tokens = self.call.output_tokens
        if service is None or not service.tokens_per_event or not tokens:
            return limits
        return limits._replace(events=tokens + SPARE_EVENTS)

    async def _write(self, chunk: bytes) -> None:
        """Passes a part of the body on.

        Raises:
            AnswerCut: The stream exceeds a limit, or there is no memory for it.
        """
        if self._scans:
            self._scan(chunk)
        await self.resp.write(chunk)
        # aiohttp waits for the caller only after each 64 KB.
        await self._req.writer.drain()

    def _scan(self, chunk: bytes) -> None:
        """Parses a part of a stream; takes memory for what is kept of it.

        Raises:
            AnswerCut: The stream exceeds a limit, or there is no memory for it.
        """
        scanner = self._scanner
        try:
            scanner.feed(chunk)
            self._output_held.grow_to(len(scanner.data))
        except StreamTooLong as exc:
            raise AnswerCut(f"stream without end: {exc}") from exc
        except Refused as exc:
            raise AnswerCut("no memory for the output of a turn") from exc
        if not self.answer_held.take_spare(scanner.unfinished_bytes):
            raise AnswerCut("no memory for an event without end")

    async def _save_turn(self, opened: OpenAnswer) -> None:
        if not self.route.keeps_turns or not opened.succeeded:
            return
        await self.parts.turns.save(
            self.call.request_id,
            self.admitted.team_name,
            self.call.body + bytes(self._scanner.data),
            self._previous,
            self.route.retention_s,
            self._stays_here,
            tuple(sorted(self._regions or ())),
        )


def _inputs_of(choice: Choice) -> dict[str, float]:
    """Returns what the expected end was computed from, for the log."""
    candidate = choice.candidate
    return {
        "turn_s": round(candidate.turn_s, 4),
        "prompt_s": round(candidate.prompt_s, 4),
        "load": round(candidate.load, 2),
        "slots": candidate.slots,
        "is_far": candidate.is_far,
    }
