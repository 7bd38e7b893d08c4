"""Connection pool of the requests to targets and to the store."""

import asyncio
import functools
from typing import Any

import aiohttp
from typing_extensions import override

from magnoliaroad.keepalive_socket import keepalive_socket
from magnoliaroad.receive_buffers import ReceivePool
from magnoliaroad.targets.response_handler import CheckedEndHandler

# Least that the kernel holds of answers on one connection, in bytes. It takes many
# events of a stream; thousands of them must fit into the memory of a host.
LEAST_ANSWER_BYTES = 8192


class TargetConnector(aiohttp.TCPConnector):
    """Checks idle connections before reuse, and how connections end.

    Pooled connections that received bytes while they were idle are closed: aiohttp
    would read those bytes as the start of the next response.

    Args:
        receive_pool: Bounds what the kernel holds of answers beyond the least for each
            connection; without it each may hold the most.
        options: Options of aiohttp.
    """

    def __init__(self, receive_pool: ReceivePool | None = None, **options: Any) -> None:
        least = {} if receive_pool is None else {"receive_bytes": LEAST_ANSWER_BYTES}
        super().__init__(
            socket_factory=functools.partial(keepalive_socket, **least), **options
        )
        # aiohttp has no option for the protocol of its connections.
        self._factory = functools.partial(
            CheckedEndHandler, receive_pool, loop=asyncio.get_running_loop()
        )

    @override
    async def _get(self, key, traces):
        while (conn := await super()._get(key, traces)) is not None:
            if conn.protocol is None or not conn.protocol.should_close:
                return conn
            conn.close()
        return None
