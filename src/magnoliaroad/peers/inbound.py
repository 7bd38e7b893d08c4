"""An incoming connection of a peer, and when reading from it pauses."""

import asyncio
import time

from magnoliaroad.peers.frame import Frame, pack_frame
from magnoliaroad.receive_buffers import ReceiveBuffer

# Most messages of one connection that are handled at the same time.
MAX_RUNNING = 1024
# Number for all connections together, beyond which each handles one at a time.
MAX_RUNNING_TOTAL = 4096
# Time between checks whether reading may go on, in seconds.
PAUSE_S = 0.005


class InboundConnection:
    """Writes replies to a peer and counts its messages that are being handled.

    Args:
        writer: The connection.
        receive_buffer: The kernel's buffer of the connection.

    Attributes:
        sender: Name of the peer; empty until it is known.
        running: Number of its messages that are being handled.
        heard_at: Monotonic time at which bytes last arrived, in seconds.
    """

    def __init__(
        self, writer: asyncio.StreamWriter, receive_buffer: ReceiveBuffer
    ) -> None:
        self.sender = ""
        self.running = 0
        self.heard_at = time.monotonic()
        self._writer = writer
        self._receive_buffer = receive_buffer

    def may_read(self, running_total: int) -> bool:
        """Returns whether a further message may be handled."""
        return self.running < MAX_RUNNING and (
            running_total < MAX_RUNNING_TOTAL or not self.running
        )

    def write(self, frame: Frame) -> None:
        """Writes ``frame``, unless the connection is closed."""
        if not self._writer.is_closing():
            self._writer.write(pack_frame(frame))

    async def drain(self) -> None:
        """Waits until the peer has read most of what was written.

        Raises:
            OSError: The connection is lost.
        """
        await self._writer.drain()

    def unsent_bytes(self) -> int:
        """Returns the bytes that the process holds because the peer reads slowly."""
        return self._writer.transport.get_write_buffer_size()

    def enlarge_receive_buffer(self) -> None:
        """Lets the kernel hold more of what the peer sends."""
        self._receive_buffer.enlarge(self._writer.transport)

    def close(self) -> None:
        """Aborts the connection."""
        self._receive_buffer.close()
        self._writer.transport.abort()
