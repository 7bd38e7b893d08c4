"""A request that this host sends for a peer, and its answer."""

import asyncio
import time
from collections.abc import AsyncIterator

from magnoliaroad.in_flight import InFlightRequests
from magnoliaroad.relay.detour_messages import DetourPart
from magnoliaroad.targets import TargetAnswer

# Longest wait for bytes before a read is answered without any, in seconds. The peer
# takes it as a sign of life.
READ_WAIT_S = 1.0


class Detour:
    """Holds an answer until the peer has read it.

    Created by the task that handles the peer's request.

    Args:
        request_id: Id of the caller's request.
        in_flight: Counts the request until it has ended.
    """

    def __init__(self, request_id: str, in_flight: InFlightRequests) -> None:
        self.request_id = request_id
        self._in_flight = in_flight
        self._opening = asyncio.current_task()
        self._answer: TargetAnswer | None = None
        self._chunks: AsyncIterator[bytes] | None = None
        self._next: asyncio.Task[bytes] | None = None
        self._read_at = time.monotonic()
        self._ended = False
        in_flight.__enter__()

    def idle_s(self, now: float) -> float:
        """Returns the time since the last read, in seconds."""
        return now - self._read_at

    def begin(self, answer: TargetAnswer) -> None:
        """Sets the answer, whose head has arrived."""
        self._answer = answer
        self._chunks = answer.iter_chunks()
        self._opening = None

    async def read(self) -> DetourPart:
        """Returns the next part of the body, or an empty one after ``READ_WAIT_S``.

        Raises:
            AnswerCut: The body ended early.
        """
        self._read_at = time.monotonic()
        part = self._next or asyncio.create_task(self._take())
        self._next = part
        await asyncio.wait({part}, timeout=READ_WAIT_S)
        self._read_at = time.monotonic()
        if not part.done():
            return DetourPart(b"", ended=False)
        self._next = None
        body = part.result()
        return DetourPart(body, ended=not body)

    async def _take(self) -> bytes:
        assert self._chunks is not None
        return await anext(self._chunks, b"")

    def end(self) -> None:
        """Stops sending and closes the answer; does nothing if it was called before."""
        if self._ended:
            return
        self._ended = True
        self._in_flight.__exit__()
        for task in (self._opening, self._next):
            if task is not None and task is not asyncio.current_task():
                task.cancel()
        if self._answer is not None:
            self._answer.close()
