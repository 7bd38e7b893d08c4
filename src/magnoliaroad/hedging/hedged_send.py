"""Sends one request, and once more elsewhere if the answer is late."""

import time
from collections.abc import Callable, Coroutine
from functools import partial
from typing import Any, Protocol

from loguru import logger
from returns.pipeline import is_successful

from magnoliaroad.hedging.metrics import HEDGES, WASTED
from magnoliaroad.hedging.policy import HedgeTarget
from magnoliaroad.hedging.race import race
from magnoliaroad.relay.call import RelayCall
from magnoliaroad.relay.offers import Offers
from magnoliaroad.relay.open_answer import OpenAnswer
from magnoliaroad.relay.parts import RelayParts
from magnoliaroad.relay.placer import NoTarget, PlacementNeed
from magnoliaroad.relay.request_memory import HeldMemory
from magnoliaroad.relay.route import RelayRoute
from magnoliaroad.relay.target import RelayTarget
from magnoliaroad.targets import RequestEnd, TargetError


class Attempts(Protocol):
    """Makes attempts at one request, and records how they end.

    Attributes:
        answer_held: Memory of the answer to the first attempt.
        second_held: Memory of the answer to the second one.
    """

    parts: RelayParts
    call: RelayCall
    route: RelayRoute
    deadline: float
    fingerprint: str
    answer_held: HeldMemory
    second_held: HeldMemory

    def need(self) -> PlacementNeed:
        """Returns what the request needs of its target."""

    async def send(
        self, target: RelayTarget, attempts: int, held: HeldMemory
    ) -> OpenAnswer:
        """Makes an attempt; raises ``TargetError`` if it fails."""

    def record_start(self, target: RelayTarget) -> None:
        """Records that an attempt begins."""

    def record_end(self, target: RelayTarget, end: RequestEnd | None) -> None:
        """Records that an attempt has ended; ``None`` if it was given up."""

    def record_failed(
        self,
        target: RelayTarget,
        exc: TargetError,
        was_cut: bool,
        record: Callable[[str, TargetError, bool], bool],
    ) -> RequestEnd:
        """Records that an attempt has failed; returns how it ended."""


class HedgedSend:
    """One request with a second attempt if the first one is late.

    Args:
        run: Makes the attempts.
        offers: Targets that the request has been offered to.
    """

    def __init__(self, run: Attempts, offers: Offers) -> None:
        self._run = run
        self._offers = offers
        self._policy = run.parts.hedging
        self._second: RelayTarget | None = None

    async def send(self, target: RelayTarget) -> OpenAnswer:
        """Returns the first answer; the other attempt's end is recorded.

        Args:
            target: Target of the first attempt, whose start is recorded.

        Raises:
            TargetError: Both attempts failed; the error is that of the first.
        """
        run, service, sent_at = self._run, target.service, time.monotonic()
        self._policy.record_request(service, sent_at)
        age_s = self._policy.age_s(run.route)
        if age_s is None:
            age_s = run.deadline - sent_at
        failures: list[TargetError] = []
        was_cut = run.parts.sender.is_cut(service)
        result = await race(
            self._send_first(target, failures),
            age_s,
            partial(self._start_second, target),
            partial(self._discard, target),
        )
        opened = result.winner
        took_s = time.monotonic() - sent_at
        self._policy.times.record(run.route.name, took_s)
        if result.has_second:
            self._log(target, result.is_second, took_s, age_s)
        if result.is_second:
            ends = [
                run.record_failed(target, exc, was_cut, self._offers.record_failure)
                for exc in failures
            ]
            run.record_end(target, ends[0] if ends else None)
            run.parts.placer.assign(run.need(), opened.target)
        return opened

    async def _send_first(
        self, target: RelayTarget, failures: list[TargetError]
    ) -> OpenAnswer:
        run = self._run
        try:
            return await run.send(target, self._offers.attempts, run.answer_held)
        except TargetError as exc:
            failures.append(exc)
            raise

    def _start_second(
        self, first: RelayTarget
    ) -> Coroutine[Any, Any, OpenAnswer] | None:
        self._second = self._choose_second(first)
        if self._second is None:
            return None
        self._offers.record_second(self._second.name)
        return self._send_second(self._second)

    def _choose_second(self, first: RelayTarget) -> RelayTarget | None:
        """Returns the target of a second attempt; ``None`` if there is to be none."""
        run, parts, now = self._run, self._run.parts, time.monotonic()
        if parts.waiting.count(first.service):
            return None
        if not is_successful(parts.quarantine.check(run.fingerprint)):
            # It has become suspect of crashing targets since the first attempt.
            return None
        excluded = {first.name, *self._offers.excluded}
        try:
            target = parts.placer.choose_unlimited(
                run.need()._replace(placed=""), excluded
            )
        except NoTarget:
            return None
        load = HedgeTarget(parts.table.load(target.name), target.slots)
        return target if self._policy.take(first.service, load, now) else None

    async def _send_second(self, target: RelayTarget) -> OpenAnswer:
        run, offers = self._run, self._offers
        was_cut = run.parts.sender.is_cut(target.service)
        run.record_start(target)
        answered, end = False, None
        try:
            opened = await run.send(target, offers.attempts, run.second_held)
            answered = True
            return opened
        except TargetError as exc:
            end = run.record_failed(target, exc, was_cut, offers.record_second_failure)
            raise
        finally:
            if not answered:
                run.record_end(target, end)

    def _discard(self, first: RelayTarget, opened: OpenAnswer) -> None:
        """Drops an answer that came at the same moment as the other one.

        Args:
            first: Target of the first attempt, whose end is recorded elsewhere.
            opened: The answer.
        """
        opened.response.close()
        if opened.target.name != first.name:
            self._run.record_end(opened.target, RequestEnd.UNANSWERED)

    def _log(
        self, first: RelayTarget, second_won: bool, took_s: float, age_s: float
    ) -> None:
        HEDGES.inc({"outcome": "won" if second_won else "lost"})
        WASTED.add({}, took_s if second_won else max(0.0, took_s - age_s))
        logger.bind(
            request=self._run.call.request_id,
            route=self._run.route.name,
            first=first.name,
            second=self._second.name if self._second is not None else "",
            second_won=second_won,
            after_s=round(age_s, 4),
            took_s=round(took_s, 4),
        ).info("second attempt")
