"""Caller side: asks the owner before a call runs and reports its outcome."""

import asyncio
import time
import uuid
from collections.abc import Callable
from typing import Any

from loguru import logger
from mode import Service
from returns.result import Failure, Result, Success

from magnoliaroad.background import background_task
from magnoliaroad.groups import Groups
from magnoliaroad.once import metrics
from magnoliaroad.once.attempt import Attempt
from magnoliaroad.once.conclusion import Conclusion
from magnoliaroad.once.intent import Intent
from magnoliaroad.once.messages import (
    AttemptState,
    AttemptStateRequest,
    IntentBegin,
    IntentBeginReply,
    IntentFinish,
    IntentFinishReply,
)
from magnoliaroad.once.owner import IntentOwner
from magnoliaroad.once.refusals import not_recorded
from magnoliaroad.once.settings import OnceSettings
from magnoliaroad.once.stored import StoredAnswer
from magnoliaroad.peers import PeerError, Peers
from magnoliaroad.refusal import Refusal
from magnoliaroad.verdict import Verdict


class OnceService(Service):
    """Runs each intent at most once, as recorded by the owner of its group.

    Args:
        cfg: Settings of at-most-once calls.
        host: Name of this host.
        groups: Finds owners and stores records.
        peers: Sends messages to other hosts.
        clock: Returns the time in seconds since 1970.
    """

    def __init__(
        self,
        cfg: OnceSettings,
        host: str,
        groups: Groups,
        peers: Peers,
        clock: Callable[[], float] = time.time,
    ) -> None:
        super().__init__()
        self.cfg = cfg
        self.host = host
        self._groups = groups
        self._peers = peers
        self._owner = IntentOwner(cfg, groups, self._query_attempt_state, clock)
        self._active_attempts: set[str] = set()
        self._report_tasks: set[asyncio.Task[None]] = set()
        peers.on(IntentBegin, self._on_begin, reply=IntentBeginReply)
        peers.on(IntentFinish, self._on_finish, reply=IntentFinishReply)
        peers.on(AttemptStateRequest, self._on_state_request, reply=AttemptState)

    async def begin(self, intent: Intent) -> Result[Attempt | StoredAnswer, Refusal]:
        """Records the intent on other hosts, so that it survives this one.

        Returns:
            An attempt, which the caller must run now and then ``finish``; the
            answer of an earlier attempt; or a refusal.
        """
        attempt = Attempt(intent, uuid.uuid4().hex, self.host)
        self._active_attempts.add(attempt.attempt_id)
        started = _now()
        try:
            reply = await self._begin_at_owner(
                attempt, started + self.cfg.begin_timeout_s
            )
        except asyncio.CancelledError:
            self._start_report(attempt, Conclusion(Verdict.NOT_RUN))
            raise
        metrics.RECORD_SECONDS.observe({}, _now() - started)
        if reply is None:
            self._start_report(attempt, Conclusion(Verdict.NOT_RUN))
            return self._refuse(not_recorded(intent.key))
        if reply.refusal is None and reply.answer is None:
            return Success(attempt)
        if reply.refusal is not None and reply.refusal.verdict is Verdict.NOT_RUN:
            self._start_report(attempt, Conclusion(Verdict.NOT_RUN))
        else:
            self._active_attempts.discard(attempt.attempt_id)
        if reply.answer is not None:
            metrics.INTENTS.inc({"outcome": "repeated"})
            return Success(reply.answer)
        return self._refuse(reply.refusal)

    async def finish(self, attempt: Attempt, conclusion: Conclusion) -> None:
        """Reports the outcome; waits at most ``finish_wait_s`` until it is recorded."""
        metrics.INTENTS.inc({"outcome": conclusion.verdict.value})
        report = self._start_report(attempt, conclusion)
        await asyncio.wait([report], timeout=self.cfg.finish_wait_s)

    async def on_stop(self) -> None:
        """Waits at most ``finish_wait_s`` for unsent reports, then cancels them."""
        if self._report_tasks:
            await asyncio.wait(self._report_tasks, timeout=self.cfg.finish_wait_s)
        for task in list(self._report_tasks):
            task.cancel()

    @background_task
    async def _sweep(self) -> None:
        while not self.should_stop:
            await self.sleep(self.cfg.sweep_interval_s)
            self._owner.sweep()
            metrics.MAY_HAVE_RUN.set({}, self._owner.count_unknown())

    async def _begin_at_owner(
        self, attempt: Attempt, deadline: float
    ) -> IntentBeginReply | None:
        while _now() < deadline:
            reply = await self._call_owner(
                IntentBegin(attempt), self._owner.begin, deadline
            )
            if reply is not None and reply.owned:
                return reply
            await asyncio.sleep(self.cfg.retry_interval_s)
        return None

    async def _call_owner(
        self, message: Any, local_handler: Any, deadline: float
    ) -> Any:
        group = self._groups.group_of(message.attempt.intent.name)
        owner = self._groups.owner_of(group)
        if owner is None:
            return None
        if owner.host == self.host:
            return await local_handler(message)
        remaining_s = max(deadline - _now(), self.cfg.retry_interval_s)
        try:
            return await self._peers.call(owner.host, message, remaining_s)
        except PeerError as exc:
            logger.bind(host=owner.host, reason=str(exc)).debug("owner unreachable")
            return None

    def _start_report(
        self, attempt: Attempt, conclusion: Conclusion
    ) -> asyncio.Task[None]:
        task = asyncio.create_task(self._send_report(IntentFinish(attempt, conclusion)))
        self._report_tasks.add(task)
        task.add_done_callback(self._report_tasks.discard)
        return task

    async def _send_report(self, message: IntentFinish) -> None:
        retention_deadline = _now() + self.cfg.retention_s
        pause_s = self.cfg.retry_interval_s
        while _now() < retention_deadline:
            deadline = _now() + self.cfg.begin_timeout_s
            try:
                reply = await self._call_owner(message, self._owner.finish, deadline)
            except Exception as exc:
                logger.bind(attempt=message.attempt.attempt_id).opt(
                    exception=exc
                ).error("outcome not reported")
                reply = None
            if reply is not None and reply.recorded:
                break
            await asyncio.sleep(pause_s)
            pause_s = min(2 * pause_s, self.cfg.lost_after_s)
        self._active_attempts.discard(message.attempt.attempt_id)

    async def _query_attempt_state(self, attempt: Attempt) -> AttemptState | None:
        if attempt.host == self.host:
            return AttemptState(attempt.attempt_id in self._active_attempts)
        try:
            request = AttemptStateRequest(attempt.attempt_id)
            return await self._peers.call(attempt.host, request, self.cfg.ask_timeout_s)
        except PeerError:
            return None

    def _refuse(self, refusal: Refusal) -> Result[Attempt | StoredAnswer, Refusal]:
        metrics.INTENTS.inc({"outcome": refusal.code})
        return Failure(refusal)

    async def _on_begin(self, sender: str, message: IntentBegin) -> IntentBeginReply:
        return await self._owner.begin(message)

    async def _on_finish(self, sender: str, message: IntentFinish) -> IntentFinishReply:
        return await self._owner.finish(message)

    async def _on_state_request(
        self, sender: str, message: AttemptStateRequest
    ) -> AttemptState:
        return AttemptState(message.attempt_id in self._active_attempts)


def _now() -> float:
    return asyncio.get_running_loop().time()
