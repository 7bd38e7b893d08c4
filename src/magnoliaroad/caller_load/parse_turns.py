"""Reads with many parts are parsed in turns of the event loop."""

import asyncio
import collections
from typing import Protocol

# Parse steps in one turn of the event loop, and the pause between two turns while many
# connections wait, in seconds. The steps take some four milliseconds; the rest of the
# event loop's time is for other requests.
TURN_STEPS = 4096
TURN_PAUSE_S = 0.02
# Connections that are read in one turn, and that may wait without a pause.
TURN_CONNECTIONS = 8
# Steps of a read that never waits. The head of a usual request has fewer fields.
FREE_STEPS = 64
LINE_END = b"\r\n"


def count_steps(data: bytes) -> int:
    """Returns about how many steps the parser takes for a part of an HTTP message.

    Each size of a chunk and each field ends with a line end, and so does the content of
    a chunk.
    """
    return data.count(LINE_END)


class Turn(Protocol):
    """A connection that waits to be parsed."""

    def take_turn(self) -> None:
        """Parses what the connection has read, and reads it again."""


class ParseTurns:
    """Bounds the parse steps in one turn of the event loop.

    For the load pattern of many callers with bodies in chunks of one byte: each chunk
    is two steps, so that parsing what all of them send took the event loop seconds, in
    which no other request went on. A single such body is read without pauses.
    """

    def __init__(self) -> None:
        self._spent = 0
        self._waiting: collections.deque[Turn] = collections.deque()
        self._scheduled = False
        self._loop: asyncio.AbstractEventLoop | None = None

    def __len__(self) -> int:
        return len(self._waiting)

    def admit(self, steps: int) -> bool:
        """Returns whether so many steps may be taken now, and counts them if so.

        One read is admitted in each turn, however many steps it takes.
        """
        if steps <= FREE_STEPS:
            return True
        if self._waiting or self._spent and self._spent + steps > TURN_STEPS:
            return False
        self.spend(steps)
        return True

    def spend(self, steps: int) -> None:
        """Counts steps that are taken in this turn."""
        self._spent += steps
        self._schedule()

    def add(self, conn: Turn) -> None:
        """Adds a connection, which is parsed at its turn."""
        loop = asyncio.get_running_loop()
        if self._loop is not loop:
            # A turn that was scheduled in a loop which has ended never comes.
            self._waiting.clear()
            self._scheduled = False
        self._waiting.append(conn)
        self._schedule()

    def _schedule(self) -> None:
        loop = asyncio.get_running_loop()
        if self._loop is not loop:
            self._loop, self._scheduled = loop, False
        if self._scheduled:
            return
        self._scheduled = True
        if len(self._waiting) <= TURN_CONNECTIONS:
            loop.call_soon(self._next_turn)
        else:
            loop.call_later(TURN_PAUSE_S, self._next_turn)

    def _next_turn(self) -> None:
        self._scheduled = False
        self._spent = 0
        for _ in range(min(TURN_CONNECTIONS, len(self._waiting))):
            self._waiting.popleft().take_turn()
            if self._spent >= TURN_STEPS:
                break
        if self._waiting:
            self._schedule()
