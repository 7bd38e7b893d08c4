"""Cuts a relay host off from all targets; the store and other hosts still reach it."""

import asyncio
import errno

import aiohttp

CUTS = ("silent", "reset", "refuse")


class CutPath:
    """The network path of one relay host to the targets.

    ``"silent"`` loses what is sent, on connections that exist too. ``"reset"`` resets
    those, and ``"refuse"`` leaves them alive; both refuse new ones.
    """

    def __init__(self, relay):
        self._client = relay.client
        self._create = self._connector._create_connection
        self._can_connect = self._client.can_connect

    @property
    def _connector(self):
        return self._client._session.connector

    def cut(self, how):
        async def create(req, traces, timeout):
            if how == "silent":
                await asyncio.sleep(timeout.sock_connect)
                raise aiohttp.ConnectionTimeoutError("cut")
            exc = OSError(errno.ECONNREFUSED, "cut")
            raise aiohttp.ClientConnectorError(req.connection_key, exc)

        async def can_connect(address):
            if how == "silent":
                await asyncio.sleep(self._client.cfg.connect_timeout_s)
            return False

        self._connector._create_connection = create
        self._client.can_connect = can_connect
        for transport in self._transports() if how != "refuse" else ():
            if how == "reset":
                transport.abort()
            else:
                transport.pause_reading()
                transport.write = transport.writelines = lambda data: None

    def heal(self):
        self._connector._create_connection = self._create
        self._client.can_connect = self._can_connect

    def _transports(self):
        pooled = [
            conn for conns in self._connector._conns.values() for conn, _ in conns
        ]
        return [
            conn.transport
            for conn in [*pooled, *self._connector._acquired]
            if conn.transport is not None
        ]
