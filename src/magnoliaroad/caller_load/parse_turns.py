"""Connections with bodies in small chunks take turns at being read."""

import asyncio
import collections
from typing import Protocol

# Most bytes that are read at once from a connection whose body comes in small chunks.
# In chunks of one byte these are some 340 parse steps, about a millisecond.
SMALL_READ_BYTES = 2048
# Connections that are read in one turn, and the pause between two turns while more of
# them wait, in seconds. The rest of the event loop's time is for other requests.
TURN_CONNECTIONS = 8
TURN_PAUSE_S = 0.02
# Least size of a read that says how a body is divided, in bytes.
MIN_READ_BYTES = 256
# Part of a read from which its framing counts as more than its content: chunks of
# less than six bytes.
FRAMING_PART = 0.5


class FramingCount:
    """Counts how much of what a connection reads is framing of its bodies.

    The parser may stop within a read until the body before it is consumed, so that a
    read is judged only once it has been parsed whole.

    Attributes:
        read_size: Most bytes to read at once from now on.
    """

    def __init__(self, read_size: int) -> None:
        self.read_size = read_size
        self._max_read_size = read_size
        self._read_bytes = 0
        self._content_bytes = 0

    def add(self, read_bytes: int, content_bytes: int) -> None:
        """Adds what was read, and what was parsed of bodies and heads."""
        self._read_bytes += read_bytes
        self._content_bytes += content_bytes

    def clear(self) -> None:
        """Leaves out what was read so far."""
        self._read_bytes = self._content_bytes = 0

    def is_small(self) -> bool:
        """Returns whether what was read came in small chunks; sets ``read_size``.

        After small chunks the size grows step by step, as they may alternate with
        large ones.
        """
        if self._read_bytes < MIN_READ_BYTES:
            return False
        small = has_small_chunks(self._read_bytes, self._content_bytes)
        self.clear()
        if small:
            self.read_size = SMALL_READ_BYTES
        else:
            self.read_size = min(self._max_read_size, 2 * self.read_size)
        return small


class Turn(Protocol):
    """A connection that waits to be read."""

    def take_turn(self) -> None:
        """Reads from the connection again."""


def has_small_chunks(read_bytes: int, body_bytes: int) -> bool:
    """Returns whether a read was mostly framing.

    Args:
        read_bytes: Bytes that were read.
        body_bytes: Bytes of the body among them.
    """
    framing = read_bytes - body_bytes
    return read_bytes >= MIN_READ_BYTES and framing > FRAMING_PART * read_bytes


class ParseTurns:
    """Reads a few of the connections with small chunks at a time.

    For the load pattern of many callers with bodies in chunks of one byte: each byte
    is a parse step, so that reading all of them took the event loop seconds, in which
    no other request went on. A single such body is read without pauses.
    """

    def __init__(self) -> None:
        self._waiting: collections.deque[Turn] = collections.deque()
        self._scheduled = False
        self._loop: asyncio.AbstractEventLoop | None = None

    def __len__(self) -> int:
        return len(self._waiting)

    def add(self, conn: Turn) -> None:
        """Adds a connection, which is read again at its turn."""
        loop = asyncio.get_running_loop()
        if self._loop is not loop:
            # A turn that was scheduled in a loop which has ended never comes.
            self._waiting.clear()
            self._loop, self._scheduled = loop, False
        self._waiting.append(conn)
        self._schedule()

    def _schedule(self) -> None:
        if self._scheduled or not self._waiting:
            return
        self._scheduled = True
        assert self._loop is not None
        if len(self._waiting) <= TURN_CONNECTIONS:
            self._loop.call_soon(self._next_turn)
        else:
            self._loop.call_later(TURN_PAUSE_S, self._next_turn)

    def _next_turn(self) -> None:
        self._scheduled = False
        for _ in range(min(TURN_CONNECTIONS, len(self._waiting))):
            self._waiting.popleft().take_turn()
        self._schedule()
