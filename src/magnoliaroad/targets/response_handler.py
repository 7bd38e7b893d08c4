"""Distinguishes answers that a close ends from answers that a lost connection cuts."""

import asyncio
from typing import Any

import aiohttp
from aiohttp import hdrs
from aiohttp.client_proto import ResponseHandler
from aiohttp.http_exceptions import HttpProcessingError
from aiohttp.streams import StreamReader
from typing_extensions import override

from magnoliaroad.error_traces import forget_traces
from magnoliaroad.receive_buffers import ReceiveBuffer, ReceivePool
from magnoliaroad.targets.errors import MAX_DETAIL_CHARS, NotHttp

# Statuses of interim responses, which aiohttp skips. 101 ends HTTP on its connection.
INTERIM_STATUSES = frozenset({100, *range(102, 200)})
# Most interim responses before the final one; targets have little to announce.
MAX_INTERIM_RESPONSES = 8

# Most bytes that are read from a connection at once; what exceeds the buffer of a body
# is held for each caller that reads slowly. The second one is for connections for which
# the kernel's memory has no room either.
READ_BYTES = 32_768
LEAST_READ_BYTES = 8192


class CheckedEndHandler(ResponseHandler):
    """Fails a body without a length whose connection was not closed by the target.

    A body with neither a length nor chunks ends with its connection. aiohttp takes any
    end of the connection for that of the body, so a reset, a timeout and a close by
    this host would look like a complete answer.

    Closes a connection on which interim responses do not end.

    Args:
        receive_pool: Bounds what the kernel holds of answers; ``None`` if it need not.
        loop: The event loop.

    Attributes:
        has_answered: Whether the connection has been used for a request.
    """

    has_answered = False
    _open_body: StreamReader | None = None
    _target_closed = False
    _interim_count = 0

    def __init__(
        self, receive_pool: ReceivePool | None, loop: asyncio.AbstractEventLoop
    ) -> None:
        super().__init__(loop=loop)
        self._receive_buffer = receive_pool and ReceiveBuffer(receive_pool)

    @override
    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        enlarged = self._receive_buffer is None or self._receive_buffer.enlarge(
            transport
        )
        # asyncio has no public option for the size of a read.
        transport.max_size = READ_BYTES if enlarged else LEAST_READ_BYTES
        super().connection_made(transport)

    @override
    def feed_data(self, data: Any, size: int = 0) -> None:
        message, body = data
        if message.code not in INTERIM_STATUSES:
            self._interim_count = 0
        elif self._interim_count == MAX_INTERIM_RESPONSES:
            self._reject_interim(message.code)
            return
        else:
            self._interim_count += 1
        has_end = message.chunked or hdrs.CONTENT_LENGTH in message.headers
        self._open_body = None if has_end else body
        super().feed_data(data, size)

    def _reject_interim(self, status: int) -> None:
        if self.transport is not None and not self.transport.is_closing():
            self.transport.close()
            text = f"more than {MAX_INTERIM_RESPONSES} interim responses"
            self.set_exception(HttpProcessingError(code=status, message=text))

    @override
    def eof_received(self) -> None:
        self._target_closed = True
        super().eof_received()

    @override
    def set_exception(self, exc: BaseException, *cause: BaseException) -> None:
        if not isinstance(exc, HttpProcessingError):
            super().set_exception(exc, *cause)
            return
        # Without its cause, the parser's error, whose trace leads back to this one and
        # to the bytes. The message quotes all of them.
        exc.message = exc.message[:MAX_DETAIL_CHARS]
        super().set_exception(exc)
        # aiohttp tells only who waits for a head.
        if self._payload is not None and not self._payload.is_eof():
            self._payload.set_exception(NotHttp(exc.message))

    @override
    def connection_lost(self, exc: BaseException | None) -> None:
        if self._receive_buffer is not None:
            self._receive_buffer.close()
        payload = self._payload
        body, self._open_body = self._open_body, None
        if body is not None and not body.is_eof() and not self._target_closed:
            reason = "closed by this host" if exc is None else repr(exc)
            body.set_exception(
                aiohttp.ClientPayloadError(f"not ended by a close: {reason}")
            )
        super().connection_lost(exc)
        if payload is not None:
            forget_traces(payload.exception())
