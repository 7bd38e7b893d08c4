"""Sends requests to targets over pooled connections."""

import asyncio
from collections.abc import Callable
from typing import Any

import aiohttp
import yarl
from mode import Service

from magnoliaroad.error_traces import forget_traces
from magnoliaroad.receive_buffers import FULL_BYTES, ReceivePool
from magnoliaroad.targets.closable_response import ClosableResponse
from magnoliaroad.targets.connector import TargetConnector
from magnoliaroad.targets.errors import (
    TargetError,
    TargetUnreachable,
    describe_error,
)
from magnoliaroad.targets.request import TargetRequest
from magnoliaroad.targets.response import TargetResponse
from magnoliaroad.targets.settings import TargetSettings
from magnoliaroad.verdict import Verdict

# Headers that aiohttp would add to the caller's own.
AUTO_HEADERS = ("Accept", "Accept-Encoding", "User-Agent", "Content-Type")
# Buffer of a body, in bytes; reading pauses when twice as much is unread.
BODY_BUFFER_BYTES = 16_384
# The same while the kernel's memory for large answers is used up.
LEAST_BODY_BUFFER_BYTES = 4096
# Statuses of final answers. aiohttp takes 101 and numbers without a meaning for such.
FINAL_STATUSES = range(200, 600)
# Errors that aiohttp raises before it has sent any byte of the request.
NOT_SENT_ERRORS = (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError)


class _ConnectionLost(aiohttp.ClientError):
    """The connection was lost while the target may have been running the request."""


async def _send_without_retry(
    req: aiohttp.ClientRequest, handler: aiohttp.ClientHandlerType
) -> aiohttp.ClientResponse:
    # aiohttp retries PUT, DELETE and GET by itself when a connection is lost. An
    # error of another class prevents that.
    try:
        return await handler(req)
    except NOT_SENT_ERRORS:
        raise
    except (aiohttp.ClientOSError, aiohttp.ServerDisconnectedError) as exc:
        raise _ConnectionLost(repr(exc)) from exc


async def _on_headers_sent(
    session: aiohttp.ClientSession, context: Any, params: Any
) -> None:
    context.trace_request_ctx.set_sent()


async def _on_connected(
    session: aiohttp.ClientSession, context: Any, params: Any
) -> None:
    context.trace_request_ctx.on_connected()


def _trace_sending() -> aiohttp.TraceConfig:
    trace = aiohttp.TraceConfig()
    trace.on_connection_create_end.append(_on_connected)
    trace.on_request_headers_sent.append(_on_headers_sent)
    return trace


class _SendState:
    """Records whether any part of a request has been sent."""

    def __init__(
        self, on_sent: Callable[[], None], on_connected: Callable[[], None]
    ) -> None:
        self.started = False
        self.on_connected = on_connected
        self._on_sent = on_sent

    def set_sent(self) -> None:
        self.started = True
        self._on_sent()


class TargetClient(Service):
    """Sends requests to targets; errors state whether the request may have run.

    Args:
        cfg: Timeouts and connection pool.
        receive_pool: Bounds what the kernel holds of answers.
    """

    def __init__(self, cfg: TargetSettings, receive_pool: ReceivePool) -> None:
        super().__init__()
        self.cfg = cfg
        self._receive_pool = receive_pool
        self._session: aiohttp.ClientSession | None = None

    async def on_start(self) -> None:
        """Creates the connection pool."""
        self._session = aiohttp.ClientSession(
            connector=TargetConnector(
                limit=0,
                limit_per_host=self.cfg.pool_size,
                keepalive_timeout=self.cfg.idle_s,
                receive_pool=self._receive_pool,
            ),
            timeout=aiohttp.ClientTimeout(
                total=None,
                sock_connect=self.cfg.connect_timeout_s,
                sock_read=None,
            ),
            cookie_jar=aiohttp.DummyCookieJar(),
            auto_decompress=False,
            middlewares=(_send_without_retry,),
            trace_configs=[_trace_sending()],
            response_class=ClosableResponse,
            skip_auto_headers=AUTO_HEADERS,
        )

    async def on_stop(self) -> None:
        """Closes the connection pool."""
        if self._session is not None:
            await self._session.close()

    async def can_connect(self, address: str) -> bool:
        """Returns whether a new connection to ``ip:port`` can be made; closes it."""
        host, _, port = address.rpartition(":")
        try:
            async with asyncio.timeout(self.cfg.connect_timeout_s):
                _, writer = await asyncio.open_connection(host, int(port))
        except (OSError, TimeoutError):
            return False
        writer.close()
        return True

    async def open(
        self,
        req: TargetRequest,
        first_byte_timeout_s: float | None = None,
        on_sent: Callable[[], None] = lambda: None,
        on_connected: Callable[[], None] = lambda: None,
    ) -> TargetResponse:
        """Sends ``req`` and returns the response once its headers have arrived.

        Args:
            req: The request.
            first_byte_timeout_s: Longest wait for the response headers; by default
                ``first_byte_timeout_s`` of the settings.
            on_sent: Callback that runs when the request headers have been sent.
            on_connected: Callback that runs when a new connection was made for it.

        Raises:
            TargetUnreachable: No connection could be made.
            TargetError: No response headers arrived, or none of a final answer.
        """
        assert self._session is not None
        send_state = _SendState(on_sent, on_connected)
        try:
            async with asyncio.timeout(
                first_byte_timeout_s or self.cfg.first_byte_timeout_s
            ):
                resp = await self._session.request(
                    req.method,
                    yarl.URL(req.url, encoded=True),
                    headers=req.headers,
                    data=req.body,
                    allow_redirects=False,
                    trace_request_ctx=send_state,
                    read_bufsize=self._body_buffer_bytes(),
                )
        except NOT_SENT_ERRORS as exc:
            forget_traces(exc)
            raise TargetUnreachable(f"{req.url}: {describe_error(exc)}") from exc
        except (aiohttp.ClientError, TimeoutError) as exc:
            forget_traces(exc)
            verdict = Verdict.MAY_HAVE_RUN if send_state.started else Verdict.NOT_RUN
            raise TargetError(f"{req.url}: {describe_error(exc)}", verdict) from exc
        if resp.status not in FINAL_STATUSES:
            resp.close_connection()
            text = f"{req.url}: status {resp.status} is no final answer"
            raise TargetError(text, Verdict.MAY_HAVE_RUN)
        return TargetResponse(resp, self.cfg.silence_timeout_s, resp.is_doubtful)

    def _body_buffer_bytes(self) -> int:
        """Returns how much of an answer is read ahead of its caller."""
        if self._receive_pool.fits(FULL_BYTES):
            return BODY_BUFFER_BYTES
        return LEAST_BODY_BUFFER_BYTES
