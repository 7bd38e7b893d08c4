"""A response whose connection can be closed after its body has ended."""

from typing import Self

import aiohttp
from aiohttp.connector import Connection
from typing_extensions import override


class ClosableResponse(aiohttp.ClientResponse):
    """Remembers its connection, which aiohttp releases when the body has ended.

    Attributes:
        is_early: Whether it began before the whole request had been sent.
    """

    is_early = False

    @override
    async def start(self, connection: Connection) -> Self:
        self._protocol_read = connection.protocol
        await super().start(connection)
        self.is_early = self._writer is not None
        return self

    def close_connection(self) -> None:
        """Closes the connection, even if it has been released to the pool.

        Must be called before the event loop runs other tasks: they may take the
        connection from the pool.
        """
        self.close()
        if self._protocol_read is not None:
            self._protocol_read.close()
