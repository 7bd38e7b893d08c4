"""A response whose connection can be closed after its body has ended."""

from collections.abc import Awaitable
from typing import Self

import aiohttp
from aiohttp.connector import Connection
from typing_extensions import override


class ClosableResponse(aiohttp.ClientResponse):
    """Remembers its connection, which aiohttp releases when the body has ended."""

    @override
    def start(self, connection: Connection) -> Awaitable[Self]:
        self._protocol_read = connection.protocol
        return super().start(connection)

    def close_connection(self) -> None:
        """Closes the connection, even if it has been released to the pool.

        Must be called before the event loop runs other tasks: they may take the
        connection from the pool.
        """
        self.close()
        if self._protocol_read is not None:
            self._protocol_read.close()
