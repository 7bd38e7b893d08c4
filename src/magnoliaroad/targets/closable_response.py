"""A response whose connection can be closed after its body has ended."""

from collections.abc import Awaitable
from typing import Self

import aiohttp
from aiohttp.connector import Connection
from typing_extensions import override

from magnoliaroad.targets.response_handler import CheckedEndHandler


class ClosableResponse(aiohttp.ClientResponse):
    """Remembers its connection, which aiohttp releases when the body has ended."""

    _reused = False

    @override
    def start(self, connection: Connection) -> Awaitable[Self]:
        protocol = connection.protocol
        self._protocol_read = protocol
        if isinstance(protocol, CheckedEndHandler):
            self._reused = protocol.has_answered
            protocol.has_answered = True
        return super().start(connection)

    @property
    def is_doubtful(self) -> bool:
        """Whether it may answer an earlier request on its connection.

        It began before the whole request had been sent. To be asked once its headers
        have arrived.
        """
        return self._reused and self._writer is not None

    def close_connection(self) -> None:
        """Closes the connection, even if it has been released to the pool.

        Must be called before the event loop runs other tasks: they may take the
        connection from the pool.
        """
        self.close()
        if self._protocol_read is not None:
            self._protocol_read.close()
