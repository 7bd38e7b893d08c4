"""A connection of a caller, which can be closed without losing a request."""

import asyncio
import contextlib
import select
import struct
import time
import typing
from collections.abc import Awaitable, Callable, Iterator
from socket import SO_ERROR, SO_LINGER, SOL_SOCKET

from aiohttp import HttpVersion11, web
from aiohttp.streams import StreamReader
from aiohttp.web_protocol import RequestHandler
from loguru import logger
from typing_extensions import override

from magnoliaroad.caller_load.eviction import Phase, Standing
from magnoliaroad.caller_load.limits import CallerLimits
from magnoliaroad.caller_load.open_connections import OpenConnections
from magnoliaroad.caller_load.parse_turns import count_steps
from magnoliaroad.caller_load.read_size import ReadSize
from magnoliaroad.error_traces import forget_traces
from magnoliaroad.idle import awaits_request
from magnoliaroad.receive_buffers import ReceiveBuffer
from magnoliaroad.unsent_bytes import unsent_bytes

TIMED_OUT = (
    b"HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
)
HEAD_TOO_LARGE = (
    b"HTTP/1.1 431 Request Header Fields Too Large\r\n"
    b"Connection: close\r\nContent-Length: 0\r\n\r\n"
)
MEMORY_FULL = (
    b"HTTP/1.1 503 Service Unavailable\r\n"
    b"Connection: close\r\nRetry-After: 1\r\nContent-Length: 0\r\n\r\n"
)
# Largest head of a request while it is incomplete, in bytes; its fields are bounded one
# by one by the server.
MAX_HEAD_BYTES = 65_536
# How often the parser holds the fields of a head: as they came and decoded.
HEAD_COPIES = 2
# Time for which the rest of a head that is too large is discarded, in seconds.
REFUSED_HEAD_S = 0.5
# Most bytes of requests that wait for the answer of an earlier one. A caller that sends
# more is not read until they have been taken, so that its leaving is seen later.
MAX_QUEUED_BYTES = 32_768
# Longest wait for a caller to receive an answer that ends its connection, in seconds;
# the default of nginx's ``lingering_time``.
MAX_LINGER_S = 30.0
# Time between checks whether it has, in seconds.
CHECK_INTERVAL_S = 0.05
# Values of ``SO_LINGER`` with which a close resets the connection, and with which not.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
END_ON_CLOSE = struct.pack("ii", 0, 0)


class CallerConnection(RequestHandler):
    """Knows whether a request has begun to arrive.

    Args:
        server: The server.
        limits: Bounds what all connections hold together.
        connections: The connections of the same address.
        options: Options of aiohttp.

    Attributes:
        head_began_at: Monotonic time in seconds at which an incomplete head of a
            request began; ``None`` if there is none. Not known of a head that arrives
            in one piece with the end of the request before it.
        head_bytes: What has arrived of that head, or of a body without adding to it,
            such as trailers; in bytes.
    """

    __slots__ = (
        "_began_at",
        "_connections",
        "_deferred",
        "_is_chunked",
        "_last_body",
        "_limits",
        "_on_evicted",
        "_queued_bytes",
        "_read_size",
        "_receive_buffer",
        "_resets_on_close",
        "_waits_for_turn",
        "head_began_at",
        "head_bytes",
    )

    def __init__(
        self,
        server: web.Server,
        limits: CallerLimits,
        connections: OpenConnections,
        **options,
    ) -> None:
        super().__init__(server, **options)
        self._limits = limits
        self._connections = connections
        # Time at which the connection or its last request began.
        self._began_at = time.monotonic()
        self._receive_buffer = ReceiveBuffer(limits.receive_pool)
        # Reading that was paused for the queue goes on once the queue is empty.
        self._msg_queue_resume_size = 0
        self._queued_bytes = 0
        self._waits_for_turn = False
        self._resets_on_close = False
        self._on_evicted: Callable[[], None] | None = None
        self._deferred = b""
        self._read_size = ReadSize()
        self._is_chunked = False
        self.head_began_at: float | None = None
        self.head_bytes = 0
        self._last_body: StreamReader | None = None

    @override
    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        # asyncio has no public option for the size of a read.
        transport.max_size = self._read_size.size
        super().connection_made(transport)
        if transport.get_extra_info("socket").getsockopt(SOL_SOCKET, SO_ERROR):
            # The caller reset it while it waited to be accepted; what it sent before
            # could still be read.
            logger.debug("connection reset before it was accepted")
            self._transport.abort()
        elif not self._connections.add(self):
            # Unread, so that the caller knows that nothing has run.
            self._transport.abort()

    @override
    def data_received(self, data: bytes) -> None:
        # aiohttp passes no data to go on with what the parser holds.
        if not data or self._may_parse(data):
            self._parse(data)

    def _may_parse(self, data: bytes) -> bool:
        """Returns whether a read is parsed now; else it waits for its turn."""
        if self.transport is None or self._close:
            return True
        has_length = self._awaits_body() and not self._is_chunked
        steps = 0 if has_length else count_steps(data)
        self._transport.max_size = self._read_size.adapt(len(data), steps)
        if self._limits.turns.admit(steps):
            return True
        self._deferred = data
        self._waits_for_turn = True
        self._pause_reading_for_buffer()
        self._limits.turns.add(self)
        return False

    def take_turn(self) -> None:
        """Parses the read that has waited for its turn, and reads on."""
        self._waits_for_turn = False
        data, self._deferred = self._deferred, b""
        if self.transport is None:
            return
        self._limits.turns.spend(count_steps(data))
        self._parse(data)
        # A full queue of requests resumes reading itself, once it is empty.
        if self.transport is not None and not self._queue_is_full():
            self._resume_reading_for_buffer()

    def _parse(self, data: bytes) -> None:
        body = self._last_body
        between = body is None or body.is_eof()
        has_length = not between and not self._is_chunked
        body_bytes = 0 if body is None else body.total_bytes
        count = self._request_count
        self._queued_bytes = len(data) + (self._queued_bytes if self._messages else 0)
        super().data_received(data)
        if self._queue_is_full() and not self._buffer_paused:
            self._pause_reading_for_buffer()
        if self._request_count > count:
            self._requests_begin()
            if has_length:
                # Only what follows the body takes steps, which were not counted yet.
                self._limits.turns.spend(count_steps(data))
        elif between:
            self._head_arrives(data)
        elif not self._reading_paused:
            self._body_arrives(data, body_bytes)
        if self.transport is not None and self._awaits_body():
            self._receive_buffer.enlarge(self.transport)

    def _requests_begin(self) -> None:
        message, self._last_body = self._messages[-1]
        # Of a malformed request the parser gives an error in place of a message.
        forget_traces(getattr(message, "exc", None))
        self._is_chunked = getattr(message, "chunked", False)
        self.head_began_at = None
        self._began_at = time.monotonic()
        self._free_head()

    def _awaits_body(self) -> bool:
        return self._last_body is not None and not self._last_body.is_eof()

    def _queue_is_full(self) -> bool:
        count = len(self._messages)
        return count >= self._max_msg_queue_size or (
            count > 1 and self._queued_bytes > MAX_QUEUED_BYTES
        )

    @override
    def _resume_reading_for_buffer(self) -> None:
        # aiohttp resumes whatever was paused whenever it takes the last request.
        if not self._waits_for_turn:
            super()._resume_reading_for_buffer()

    def _head_arrives(self, data: bytes) -> None:
        """Counts a part of an incomplete head; refuses one that is too large."""
        if self.head_began_at is None:
            if not data.strip(b"\r\n"):
                return
            self.head_began_at = time.monotonic()
        if self._close:
            return
        fits = self._limits.heads.take(len(data), self.head_bytes)
        self.head_bytes += len(data)
        if self.head_bytes > MAX_HEAD_BYTES:
            self._give_up_head("head too large", HEAD_TOO_LARGE)
        elif not fits and awaits_request(self):
            self._give_up_head("heads too large", MEMORY_FULL)

    def _body_arrives(self, data: bytes, body_bytes: int) -> None:
        """Counts what the parser may hold of trailers; gives up if it is too much.

        Args:
            data: What has arrived.
            body_bytes: Size of the body before.
        """
        body = self._last_body
        if body is None or body.is_eof() or body.total_bytes > body_bytes:
            self._free_head()
        elif not self._close:
            fits = self._limits.heads.take(len(data), self.head_bytes)
            self.head_bytes += len(data)
            if self.head_bytes > MAX_HEAD_BYTES or not fits:
                self._give_up_head("trailers too large", MEMORY_FULL)

    def _free_head(self) -> None:
        if self.head_bytes:
            self._limits.heads.free(self.head_bytes)
            self.head_bytes = 0

    def _give_up_head(self, reason: str, answer: bytes) -> None:
        """Refuses an incomplete head and frees it; what still arrives is discarded."""
        logger.bind(
            reason=reason,
            head_bytes=self.head_bytes,
            heads_bytes=self._limits.heads.held_bytes,
        ).info("head refused")
        if awaits_request(self):
            self.refuse_head(answer)
            self._loop.call_later(REFUSED_HEAD_S, self.force_close)
        else:
            # It follows or ends a request that is not answered yet.
            self._transport.abort()
        self._parser = None
        self._free_head()

    @override
    def connection_lost(self, exc: BaseException | None) -> None:
        unread = [body for _, body in self._messages]
        super().connection_lost(exc)
        self._connections.remove(self)
        self._free_head()
        self._receive_buffer.close()
        self._deferred = b""
        for body in (*unread, self._last_body):
            # The parts of a connection refer to each other, so that only the garbage
            # collector frees them; it counts objects, not their size.
            if type(body) is StreamReader:
                body._buffer.clear()

    @override
    def finish_response(
        self, request: web.BaseRequest, resp: web.StreamResponse, *args
    ) -> Awaitable[tuple[web.StreamResponse, bool]]:
        unread = not request.content.is_eof()
        if unread:
            resp.force_close()
        finish = super().finish_response(request, resp, *args)
        # Without a coroutine more for the usual answer, which has been sent already.
        if resp.prepared and resp.keep_alive:
            return finish
        return self._finish_and_linger(request, finish)

    async def _finish_and_linger(
        self,
        request: web.BaseRequest,
        finish: Awaitable[tuple[web.StreamResponse, bool]],
    ) -> tuple[web.StreamResponse, bool]:
        resp, reset = await finish
        if not reset and not resp.keep_alive:
            if request.content.is_eof():
                await self._linger()
            else:
                # What follows is discarded unparsed; the caller sees the end at once.
                self.close()
                self._write_end()
        if self._resets_on_close and self.transport is not None:
            self._end_on_close()
        return resp, reset

    def reset_unless_complete(self) -> None:
        """Lets the connection be reset if it is closed before the answer is complete.

        For an answer that only the end of its connection ends: to the caller, a planned
        close, also one of the kernel's when the process ends, completes it.
        """
        if self.transport is not None:
            self._resets_on_close = True
            self._set_linger(RESET_ON_CLOSE)

    def _end_on_close(self) -> None:
        """Lets a close end an answer that was written whole."""
        if not self._transport.get_write_buffer_size():
            self._resets_on_close = False
            self._set_linger(END_ON_CLOSE)

    def _set_linger(self, value: bytes) -> None:
        # Fails if the socket has been closed.
        with contextlib.suppress(OSError):
            sock = self._transport.get_extra_info("socket")
            sock.setsockopt(SOL_SOCKET, SO_LINGER, value)

    async def _linger(self, sends_end: bool = True) -> None:
        """Waits until the caller has received the answer that ends its connection.

        The caller sees its end at once, and what it still sends is discarded. If the
        connection were closed with bytes unread, the kernel would reset it and drop
        what it has not sent of the answer.

        Args:
            sends_end: Whether the caller sees the end of the connection.
        """
        self.close()
        loop = asyncio.get_running_loop()
        until = loop.time() + MAX_LINGER_S
        if sends_end:
            self._write_end()
        while self.transport is not None and loop.time() < until:
            if self.transport.is_closing() or not unsent_bytes(self._transport):
                return
            await asyncio.sleep(CHECK_INTERVAL_S)

    def _write_end(self) -> None:
        # Fails if the caller has reset the connection.
        with contextlib.suppress(OSError):
            if self.transport is not None:
                self._transport.write_eof()

    async def cut_off(self, written: int) -> None:
        """Ends the connection within an answer, after those before it.

        Args:
            written: Bytes of the answer that were written.
        """
        if self.transport is None:
            return
        resets, self._resets_on_close = self._resets_on_close, False
        if self._transport.get_write_buffer_size() > written:
            await self._linger(sends_end=not resets)
        if self.transport is not None:
            self._transport.abort()

    def held_bytes(self) -> int:
        """Returns what the process holds of requests and answers that are under way."""
        if self.transport is None:
            return 0
        body = self._last_body
        unread = body._size if type(body) is StreamReader else 0
        unsent = self._transport.get_write_buffer_size()
        return HEAD_COPIES * self.head_bytes + len(self._deferred) + unread + unsent

    def shed(self) -> None:
        """Gives up what it holds.

        A request that has not arrived is refused, all else cut off.
        """
        if self.head_began_at is not None and awaits_request(self):
            self._give_up_head("memory of the host", MEMORY_FULL)
        elif self._on_evicted is not None:
            self._on_evicted()
        elif self.transport is not None:
            self._transport.abort()

    @contextlib.contextmanager
    def receiving(self, on_evicted: Callable[[], None]) -> Iterator[None]:
        """Lets ``on_evicted`` be called if a body that is read has to make room.

        Its request is to be refused then.
        """
        self._on_evicted = on_evicted
        try:
            yield
        finally:
            self._on_evicted = None

    def standing(self) -> Standing:
        """Returns what the connection waits for, and since when."""
        if awaits_request(self):
            if self.head_began_at is not None:
                return Standing(Phase.RECEIVING, self.head_began_at)
            phase = Phase.RECEIVING if self._waits_for_turn else Phase.IDLE
        elif self._awaits_body():
            phase = Phase.RECEIVING
        elif self.transport is not None and self._transport.get_write_buffer_size():
            phase = Phase.SENDING
        else:
            phase = Phase.SERVED
        return Standing(phase, self._began_at)

    def evict(self) -> bool:
        """Ends the connection to make room for others, unless a request has come.

        Returns:
            Whether it was ended.
        """
        if self.transport is None:
            return True
        if self.is_idle():
            self.close_idle()
            return True
        if awaits_request(self) and self.head_began_at is None:
            return False
        self.shed()
        return True

    def is_idle(self) -> bool:
        """Returns whether no part of a request has arrived or waits to be read."""
        return (
            awaits_request(self)
            and self.head_began_at is None
            and not self._waits_for_turn
            and not _is_readable(self._transport)
        )

    def close_idle(self) -> None:
        """Closes an idle connection; the caller sees its end at once.

        ``force_close`` alone closes the socket in a later iteration of the event loop.
        """
        with contextlib.suppress(OSError):
            self._transport.write_eof()
        self.force_close()

    def refuse_head(self, answer: bytes = TIMED_OUT) -> None:
        """Answers a request whose head is incomplete, and ends the connection.

        The connection stays open for what still arrives, which is discarded: closing it
        with unread bytes would reset it, and the caller might not see the answer.
        """
        self._transport.write(answer)
        self.close()
        self._transport.write_eof()

    @property
    def _transport(self) -> asyncio.Transport:
        assert isinstance(self.transport, asyncio.Transport)
        return self.transport


async def cut_off_answer(req: web.BaseRequest) -> None:
    """Ends the connection of a request whose answer cannot be completed.

    Its end does not look like that of a whole answer. Answers before it that the caller
    has not received are delivered first.
    """
    conn = typing.cast(CallerConnection, req.protocol)
    await conn.cut_off(req.writer.output_size)


def end_by_close(req: web.BaseRequest, resp: web.StreamResponse) -> None:
    """Lets only a complete answer end with a close if nothing else marks its end.

    Answers to HTTP/1.0 without a length end with their connection, also if the caller
    asked to keep it. To be called once the head has been written.
    """
    framed = req.writer.chunked or req.writer.length is not None
    conn = typing.cast(CallerConnection | None, req.protocol)
    if framed or req.version >= HttpVersion11 or conn is None:
        return
    resp.force_close()
    conn.reset_unless_complete()


def make_connection(
    server: web.Server, limits: CallerLimits, connections: OpenConnections
) -> CallerConnection:
    """Returns the protocol of a new connection; aiohttp has no option for its class."""
    return CallerConnection(
        server, limits, connections, loop=server._loop, **server._kwargs
    )


def _is_readable(transport: asyncio.Transport) -> bool:
    poll = select.poll()
    poll.register(transport.get_extra_info("socket").fileno(), select.POLLIN)
    return bool(poll.poll(0))
