"""Connection pool of the requests to targets and to the store."""

import asyncio
import functools
from typing import Any

import aiohttp
from typing_extensions import override

from magnoliaroad.targets.response_handler import CheckedEndHandler


class TargetConnector(aiohttp.TCPConnector):
    """Checks idle connections before reuse, and how connections end.

    Pooled connections that received bytes while they were idle are closed: aiohttp
    would read those bytes as the start of the next response.
    """

    def __init__(self, **options: Any) -> None:
        super().__init__(**options)
        # aiohttp has no option for the protocol of its connections.
        self._factory = functools.partial(
            CheckedEndHandler, loop=asyncio.get_running_loop()
        )

    @override
    async def _get(self, key, traces):
        while (conn := await super()._get(key, traces)) is not None:
            if conn.protocol is None or not conn.protocol.should_close:
                return conn
            conn.close()
        return None
