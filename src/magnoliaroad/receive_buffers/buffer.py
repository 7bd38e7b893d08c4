"""The kernel's buffer of a connection for what the process has not read yet."""

import asyncio
import contextlib
import socket

from magnoliaroad.receive_buffers.pool import ReceivePool

# Least buffer of a connection, in bytes. It takes the head of a usual request, and so
# many connections may have one that thousands must fit into the memory of a host.
LEAST_BYTES = 4096
# Buffer of a connection on which a large body arrives, in bytes: the largest window
# without scaling, which the listening socket's small buffer excludes.
FULL_BYTES = 65_536
# Linux doubles the size that is set, and holds no more payload than that.
KERNEL_FACTOR = 2


def limit_receive_buffer(sock: socket.socket, size: int) -> None:
    """Lets the kernel hold at most ``size`` unread bytes of a connection.

    Connections inherit the limit of the listening socket. Without a limit the kernel
    raises it by itself, to several megabytes for each connection.
    """
    # Fails if the connection is closed.
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, size // KERNEL_FACTOR)


class ReceiveBuffer:
    """Buffer of one connection, which is larger while a large body arrives.

    Args:
        pool: Bounds the enlarged buffers of all connections.
        least_bytes: Size that the connection always has.
    """

    __slots__ = ("_enlarged", "_least_bytes", "_pool")

    def __init__(self, pool: ReceivePool, least_bytes: int = LEAST_BYTES) -> None:
        self._pool = pool
        self._least_bytes = least_bytes
        self._enlarged = False

    def enlarge(self, transport: asyncio.BaseTransport) -> None:
        """Enlarges the buffer if the pool has room for it."""
        if not self._enlarged and self._pool.take(FULL_BYTES):
            self._enlarged = True
            limit_receive_buffer(transport.get_extra_info("socket"), FULL_BYTES)

    def reduce(self, transport: asyncio.BaseTransport) -> None:
        """Gives the enlarged buffer back."""
        if self._enlarged:
            limit_receive_buffer(transport.get_extra_info("socket"), self._least_bytes)
            self.close()

    def close(self) -> None:
        """Gives the enlarged buffer back as the connection ends."""
        if self._enlarged:
            self._enlarged = False
            self._pool.free(FULL_BYTES)
