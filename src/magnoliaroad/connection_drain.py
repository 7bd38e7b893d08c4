"""Closes the connections of an HTTP server whose host is about to stop."""

import asyncio
import time

from aiohttp import web
from aiohttp.web_protocol import RequestHandler
from loguru import logger

from magnoliaroad.idle import awaits_request
from magnoliaroad.in_flight import InFlightRequests

# Time that a new connection without a request stays open during a drain, in seconds;
# a caller sends its request within a few round trips after connecting.
NEW_CONNECTION_GRACE_S = 0.4
# Time between checks for idle connections during a drain, in seconds.
IDLE_CHECK_INTERVAL_S = 0.05
# Longest wait for callers to take the rest of their answers when all connections of a
# server are closed, in seconds; ten round trips between continents.
SEND_LIMIT_S = 5.0


async def close_server(runner: web.BaseRunner) -> None:
    """Closes a server and waits until the bytes of its answers have been sent.

    Waits at most ``SEND_LIMIT_S`` once all handlers have ended.
    """
    conns = [] if runner.server is None else runner.server.connections
    transports = [conn.transport for conn in conns if conn.transport is not None]
    await runner.cleanup()
    until = time.monotonic() + SEND_LIMIT_S
    while unsent := sum(t.get_write_buffer_size() for t in transports):
        if time.monotonic() > until:
            logger.bind(unsent_bytes=unsent).warning("unsent answers at shutdown")
            return
        await asyncio.sleep(IDLE_CHECK_INTERVAL_S)


class ConnectionDrain:
    """Closes connections as they become idle and waits until all have ended.

    A connection has ended when the server has lost it, which is after the last byte of
    its answers has left the process. A connection that was told to close, or whose
    handler has returned, may still hold unsent bytes.

    Args:
        server: The server; it accepts no connections any more.
        in_flight: Its requests that are being answered.
    """

    def __init__(self, server: web.Server, in_flight: InFlightRequests) -> None:
        self._server = server
        self._in_flight = in_flight
        self._idle_since: dict[RequestHandler, float] = {}

    async def run(self, until: float) -> bool:
        """Returns whether all connections have ended before ``until``.

        Args:
            until: Monotonic time in seconds.
        """
        began = time.monotonic()
        ended = False
        while not ended and time.monotonic() < until:
            # Connections that were just accepted reach the server after this pause.
            await asyncio.sleep(IDLE_CHECK_INTERVAL_S)
            self._close_idle(time.monotonic())
            ended = not self._server.connections and not self._in_flight.count
        logger.bind(
            in_flight=self._in_flight.count,
            connections=len(self._server.connections),
            unsent_bytes=sum(map(_unsent_bytes, self._server.connections)),
            took_s=round(time.monotonic() - began, 3),
        ).info("drain ended")
        return ended

    def _close_idle(self, now: float) -> None:
        """Closes connections that have been idle for ``NEW_CONNECTION_GRACE_S``."""
        for conn in self._server.connections:
            if conn.transport is None:
                continue
            since = self._idle_since.setdefault(conn, now)
            # If the caller sends more on a connection that was closed with unsent
            # bytes, the kernel resets it and they are lost.
            if not awaits_request(conn) or conn.transport.get_write_buffer_size():
                self._idle_since[conn] = now
            elif now - since >= NEW_CONNECTION_GRACE_S:
                conn.force_close()


def _unsent_bytes(conn: RequestHandler) -> int:
    return 0 if conn.transport is None else conn.transport.get_write_buffer_size()
