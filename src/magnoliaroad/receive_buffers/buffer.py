"""The kernel's buffer of a connection for what the process has not read yet."""

import asyncio
import contextlib
import socket

from magnoliaroad.receive_buffers.pool import ReceivePool

# Least buffer of a connection, in bytes. It takes the head of a usual request, and so
# many connections may have one that thousands must fit into the memory of a host.
LEAST_BYTES = 4096
# Buffer of a connection on which a large body arrives, in bytes. It lets some 17 MB a
# second through between data centres.
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
    """Buffer of one connection, which is enlarged once a large body arrives.

    It stays so until the connection ends. With a smaller one the peer would wait for
    its persist timer: it sends no less than half of the largest window that it saw.

    Args:
        pool: Bounds the enlarged buffers of all connections.
    """

    __slots__ = ("_enlarged", "_pool")

    def __init__(self, pool: ReceivePool) -> None:
        self._pool = pool
        self._enlarged = False

    def enlarge(self, transport: asyncio.BaseTransport) -> bool:
        """Enlarges the buffer if the pool has room for it.

        Returns:
            Whether it is enlarged.
        """
        if not self._enlarged and self._pool.take(FULL_BYTES):
            self._enlarged = True
            limit_receive_buffer(transport.get_extra_info("socket"), FULL_BYTES)
        return self._enlarged

    def close(self) -> None:
        """Gives the enlarged buffer back as the connection ends."""
        if self._enlarged:
            self._enlarged = False
            self._pool.free(FULL_BYTES)
