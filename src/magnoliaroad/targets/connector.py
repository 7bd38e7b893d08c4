"""Connection pool that checks idle connections before reuse."""

import aiohttp
from typing_extensions import override


class IdleCheckConnector(aiohttp.TCPConnector):
    """Closes pooled connections that received bytes while they were idle.

    aiohttp would read those bytes as the start of the next response.
    """

    @override
    async def _get(self, key, traces):
        while (conn := await super()._get(key, traces)) is not None:
            if conn.protocol is None or not conn.protocol.should_close:
                return conn
            conn.close()
        return None
