"""A connection pool that does not trust idle connections blindly."""

import aiohttp
from typing_extensions import override


class IdleCheckConnector(aiohttp.TCPConnector):
    """Drops a pooled connection that received bytes while it was idle.

    aiohttp would read them as the start of the next answer.
    """

    @override
    async def _get(self, key, traces):
        while (conn := await super()._get(key, traces)) is not None:
            if conn.protocol is None or not conn.protocol.should_close:
                return conn
            conn.close()
        return None
