"""Distinguishes answers that a close ends from answers that a lost connection cuts."""

from typing import Any

import aiohttp
from aiohttp import hdrs
from aiohttp.client_proto import ResponseHandler
from aiohttp.streams import StreamReader
from typing_extensions import override


class CheckedEndHandler(ResponseHandler):
    """Fails a body without a length whose connection was not closed by the target.

    A body with neither a length nor chunks ends with its connection. aiohttp takes any
    end of the connection for that of the body, so a reset, a timeout and a close by
    this host would look like a complete answer.

    Attributes:
        has_answered: Whether the connection has been used for a request.
    """

    has_answered = False
    _open_body: StreamReader | None = None
    _target_closed = False

    @override
    def feed_data(self, data: Any, size: int = 0) -> None:
        message, body = data
        has_end = message.chunked or hdrs.CONTENT_LENGTH in message.headers
        self._open_body = None if has_end else body
        super().feed_data(data, size)

    @override
    def eof_received(self) -> None:
        self._target_closed = True
        super().eof_received()

    @override
    def connection_lost(self, exc: BaseException | None) -> None:
        body = self._open_body
        if body is not None and not body.is_eof() and not self._target_closed:
            reason = "closed by this host" if exc is None else repr(exc)
            body.set_exception(
                aiohttp.ClientPayloadError(f"not ended by a close: {reason}")
            )
        super().connection_lost(exc)
