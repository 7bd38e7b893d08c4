"""Holds requests until a target of their service is likely to have room."""

import asyncio
import itertools
import random
import time
from collections.abc import Callable
from typing import NamedTuple

from loguru import logger

from magnoliaroad.waiting.metrics import OUTCOMES, WAITING, WAITS
from magnoliaroad.waiting.room_queue import RoomQueue
from magnoliaroad.waiting.settings import WaitingSettings
from magnoliaroad.waiting.standing import Standing

# Part of the time that a caller still has for which its request may wait: a refusal
# after it leaves the caller enough time to try another host.
MAX_WAIT_PART = 0.5


class WaitingRequest(NamedTuple):
    """A request that targets have refused as full.

    Attributes:
        request_id: Its id.
        service: Its service.
        team: Team that sent it.
        standing: Its standing among others.
        size: Bytes of its body.
        since: Monotonic time at which it first began to wait, in seconds.
        deadline: Monotonic time at which its answer is due, in seconds.
        has_tried: Whether it has waited before and found no room.
    """

    request_id: str
    service: str
    team: str
    standing: Standing
    size: int
    since: float
    deadline: float
    has_tried: bool = False


class WaitingRoom:
    """Wakes waiting requests in order, as room is likely to be there.

    Room is likely once a request of this host to the service has ended, and else is
    looked for after a pause.

    Args:
        cfg: Bounds.
        states_slowdown: Returns whether the targets of a service state a slowdown.
    """

    def __init__(
        self, cfg: WaitingSettings, states_slowdown: Callable[[str, float], bool]
    ) -> None:
        self.cfg = cfg
        self._states_slowdown = states_slowdown
        self._queues: dict[str, RoomQueue] = {}
        self._timers: dict[str, asyncio.TimerHandle] = {}
        self._woken: dict[str, asyncio.Future[bool]] = {}
        self._held_bytes = 0
        # Callers choose the ids of requests, and may send two with the same one.
        self._numbers = itertools.count()
        self._has_stopped = False

    def is_active(self, service: str) -> bool:
        """Whether requests to a service wait for room."""
        if self.cfg.enabled == "auto":
            return self._states_slowdown(service, time.monotonic())
        return self.cfg.enabled == "on"

    def count(self, service: str) -> int:
        """Returns the requests to a service that wait."""
        queue = self._queues.get(service)
        return 0 if queue is None else len(queue)

    def goes_first(self, service: str, standing: Standing) -> bool:
        """Whether a request that arrives now goes before all that wait.

        Guards against new requests that take each place that becomes free, whatever
        their rank, while others wait for their next try.
        """
        queue = self._queues.get(service)
        return not queue or queue.goes_first(standing, time.monotonic())

    def stop(self) -> None:
        """Refuses the waiting requests in their order, and all that come later.

        Their callers try another host, which this one would only keep them from while
        it stops.
        """
        self._has_stopped = True
        for queue in self._queues.values():
            while (key := queue.take_next()) is not None:
                self._resolve(key, False)

    async def wait(self, request: WaitingRequest) -> bool:
        """Waits until the request is to be tried again; returns whether it is."""
        now = time.monotonic()
        limit_s = self._longest_wait_s(request, now)
        if reason := self._reason_to_refuse(request, limit_s):
            OUTCOMES.inc({"outcome": reason})
            return False
        queue = self._queues.setdefault(request.service, RoomQueue())
        if request.has_tried:
            queue.record_outcome(found_room=False)
        key = str(next(self._numbers))
        queue.add(key, request.team, request.standing, request.since)
        if queue.expected_wait_s(key) > limit_s:
            queue.remove(key)
            OUTCOMES.inc({"outcome": "would wait too long"})
            return False
        logger.bind(
            request=request.request_id,
            service=request.service,
            rank=request.standing.rank,
            slack_s=round(request.standing.slack_s, 3),
            waiting=len(self._woken),
        ).info("waits for room")
        woken = await self._wait_in(queue, key, request, limit_s)
        waited_s = time.monotonic() - request.since
        WAITS.observe({"rank": str(request.standing.rank)}, waited_s)
        OUTCOMES.inc({"outcome": "tried again" if woken else "given up"})
        return woken

    def _reason_to_refuse(self, request: WaitingRequest, limit_s: float) -> str:
        """Returns why a request is refused at once; empty if it may wait."""
        if self._has_stopped:
            return "host stops"
        if limit_s <= 0:
            return "no time left"
        return "" if self._has_space(request) else "no space"

    def _longest_wait_s(self, request: WaitingRequest, now: float) -> float:
        left_s = (request.deadline - request.since) * MAX_WAIT_PART
        return request.since + min(self.cfg.longest_wait_s, left_s) - now

    def _has_space(self, request: WaitingRequest) -> bool:
        fits = self._held_bytes + request.size <= self.cfg.max_bytes
        return fits and len(self._woken) < self.cfg.max_requests

    async def _wait_in(
        self, queue: RoomQueue, key: str, request: WaitingRequest, limit_s: float
    ) -> bool:
        fut = asyncio.get_running_loop().create_future()
        self._woken[key] = fut
        self._held_bytes += request.size
        WAITING.set({}, len(self._woken))
        self._set_timer(request.service)
        try:
            async with asyncio.timeout(limit_s):
                return await fut
        except TimeoutError:
            return False
        finally:
            queue.remove(key)
            del self._woken[key]
            self._held_bytes -= request.size
            WAITING.set({}, len(self._woken))

    def record_end(self, service: str) -> None:
        """Wakes the next request, as one of this host to the service has ended."""
        queue = self._queues.get(service)
        if queue:
            queue.record_end(time.monotonic())
            queue.record_outcome(found_room=True)
            self._wake_next(service)

    def _set_timer(self, service: str) -> None:
        if service in self._timers:
            return
        # Jitter, so that hosts with waiting requests do not all try at the same time.
        pause_s = self._queues[service].pause_s * random.uniform(0.7, 1.3)
        loop = asyncio.get_running_loop()
        self._timers[service] = loop.call_later(pause_s, self._on_timer, service)

    def _on_timer(self, service: str) -> None:
        del self._timers[service]
        self._wake_next(service)
        if self._queues[service]:
            self._set_timer(service)

    def _wake_next(self, service: str) -> None:
        key = self._queues[service].take_next()
        if key is not None:
            self._resolve(key, True)

    def _resolve(self, key: str, tries_again: bool) -> None:
        fut = self._woken.get(key)
        if fut is not None and not fut.done():
            fut.set_result(tries_again)
