"""Listens for connections of callers, and stops without dropping any."""

import asyncio
import contextlib
import socket

from aiohttp import web
from loguru import logger
from typing_extensions import override

from magnoliaroad.caller_connection import CallerConnection, make_connection
from magnoliaroad.caller_load.limits import CallerLimits
from magnoliaroad.caller_load.open_connections import OpenConnections
from magnoliaroad.connection_filter import drop_new_connections
from magnoliaroad.listening import listening_socket
from magnoliaroad.receive_buffers import LEAST_BYTES, limit_receive_buffer

# Most connections that wait in the kernel's queue.
BACKLOG = 1024
# Most connections that are accepted in one iteration of the event loop.
ACCEPTED_AT_ONCE = 16
# Time in which handshakes end that have begun before a stop, in seconds; a round trip
# within a continent.
HANDSHAKE_S = 0.1


class _CallerSite(web.SockSite):
    """Serves connections as ``CallerConnection``."""

    def __init__(
        self,
        runner: web.BaseRunner,
        sock: socket.socket,
        limits: CallerLimits,
        connections: OpenConnections,
    ) -> None:
        super().__init__(runner, sock, backlog=BACKLOG)
        self._limits = limits
        self._connections = connections

    @override
    async def start(self) -> None:
        await web.BaseSite.start(self)
        # asyncio accepts as many connections at once as the queue may hold, before it
        # goes on with the requests that it has.
        self._server = await asyncio.get_running_loop().create_server(
            self.make_connection, sock=self._sock, backlog=ACCEPTED_AT_ONCE
        )
        self._sock.listen(self._backlog)

    def make_connection(self) -> CallerConnection:
        """Returns the protocol of a new connection."""
        assert self._runner.server is not None
        server = self._runner.server
        return make_connection(server, self._limits, self._connections)


class CallerListener:
    """A listening socket of an HTTP server.

    Args:
        runner: Runs the server.
        address: IP address to listen on.
        port: TCP port to listen on.
        limits: Bounds what all connections of the process hold together.
        connections: The connections of this address.
    """

    def __init__(
        self,
        runner: web.BaseRunner,
        address: str,
        port: int,
        limits: CallerLimits,
        connections: OpenConnections,
    ) -> None:
        self.socket = listening_socket(address, port)
        limit_receive_buffer(self.socket, LEAST_BYTES)
        self._site = _CallerSite(runner, self.socket, limits, connections)

    async def start(self) -> None:
        """Starts listening."""
        await self._site.start()

    async def stop(self) -> None:
        """Accepts the connections that wait in the kernel's queue, then stops.

        The kernel resets those that are in the queue when the socket is closed, or come
        into it after the last one was accepted.
        """
        drop_new_connections(self.socket)
        await asyncio.sleep(HANDSHAKE_S)
        accepted = self._accept_waiting()
        await self._site.stop()
        loop = asyncio.get_running_loop()
        for sock in accepted:
            sock.setblocking(False)
            await loop.connect_accepted_socket(self._site.make_connection, sock)
        logger.bind(accepted=len(accepted)).info("listening ended")

    def _accept_waiting(self) -> list[socket.socket]:
        accepted = []
        try:
            with contextlib.suppress(BlockingIOError):
                while True:
                    accepted.append(self.socket.accept()[0])
        except OSError as exc:
            logger.bind(reason=repr(exc)).warning("waiting connections not accepted")
        return accepted
