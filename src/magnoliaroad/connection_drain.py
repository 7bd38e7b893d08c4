"""Closes the connections of an HTTP server whose host is about to stop."""

import asyncio
import time

from aiohttp import web
from aiohttp.web_protocol import RequestHandler
from loguru import logger

from magnoliaroad.caller_connection import CallerConnection
from magnoliaroad.idle import awaits_request
from magnoliaroad.in_flight import InFlightRequests
from magnoliaroad.unsent_bytes import unsent_bytes

# Time for which a connection is idle before it is closed during a drain, in seconds; a
# caller sends its request within a few round trips after connecting.
IDLE_GRACE_S = 0.4
# Time for which the rest of a refused head is discarded, in seconds; one round trip
# between continents, after which the caller has the refusal.
LINGER_S = 0.5
# Longest time for which the head of a request may arrive during a drain, in seconds;
# the default of nginx's ``client_header_timeout``.
HEAD_LIMIT_S = 60.0
# Time between checks of the connections, in seconds.
CHECK_INTERVAL_S = 0.05


class ConnectionDrain:
    """Closes connections as they become idle and waits until all have ended.

    A connection has ended when the server has lost it, which is after the last byte of
    its answers has left the process. A connection that was told to close, or whose
    handler has returned, may still hold unsent bytes.

    Args:
        server: The server; it accepts no connections any more. Its connections are
            ``CallerConnection``.
        in_flight: Its requests that are being answered.
    """

    def __init__(self, server: web.Server, in_flight: InFlightRequests) -> None:
        self._server = server
        self._in_flight = in_flight
        self._idle_since: dict[RequestHandler, float] = {}
        self._refused_at: dict[RequestHandler, float] = {}

    async def run(self, until: float) -> bool:
        """Returns whether all connections have ended before ``until``.

        Args:
            until: Monotonic time in seconds.
        """
        began = time.monotonic()
        ended = False
        while not ended and time.monotonic() < until:
            # Connections that were just accepted reach the server after this pause.
            await asyncio.sleep(CHECK_INTERVAL_S)
            self._close_idle(time.monotonic(), until)
            ended = not self._server.connections and not self._in_flight.count
        logger.bind(
            in_flight=self._in_flight.count,
            connections=len(self._server.connections),
            heads_refused=len(self._refused_at),
            unsent_bytes=sum(map(_unsent_bytes, self._server.connections)),
            took_s=round(time.monotonic() - began, 3),
        ).info("drain ended")
        return ended

    def _close_idle(self, now: float, until: float) -> None:
        """Closes idle connections and refuses requests whose heads do not end."""
        for conn in self._server.connections:
            if conn.transport is None:
                continue
            if conn in self._refused_at:
                if now - self._refused_at[conn] >= LINGER_S:
                    conn.force_close()
            elif self._head_is_late(conn, now, until):
                self._refused_at[conn] = now
                conn.refuse_head()
            # If the caller sends more on a connection that was closed, the kernel
            # resets it and drops the bytes that it has not sent.
            elif not conn.is_idle() or _unsent_bytes(conn):
                self._idle_since[conn] = now
            elif now - self._idle_since.setdefault(conn, now) >= IDLE_GRACE_S:
                conn.close_idle()

    def _head_is_late(self, conn: CallerConnection, now: float, until: float) -> bool:
        if conn.head_began_at is None or not awaits_request(conn):
            return False
        # The caller has time to read the refusal before the drain ends.
        return now >= min(conn.head_began_at + HEAD_LIMIT_S, until - 2 * LINGER_S)


def _unsent_bytes(conn: RequestHandler) -> int:
    return 0 if conn.transport is None else unsent_bytes(conn.transport)
