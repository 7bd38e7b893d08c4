"""An incoming connection of a peer, and when reading from it pauses."""

import asyncio
import time

from magnoliaroad.peers.frame import (
    LARGE_FRAME_BYTES,
    Frame,
    FrameReader,
    count_sent,
    pack_frame,
)
from magnoliaroad.peers.frame_memory import FrameMemory
from magnoliaroad.receive_buffers import ReceiveBuffer

# Most messages of one connection that are handled at the same time.
MAX_RUNNING = 1024
# Number for all connections together, beyond which each handles one at a time.
MAX_RUNNING_TOTAL = 4096
# Bytes that are read from a connection at once, at first and at most. A host has
# hundreds of peers, whose messages are mostly small.
FIRST_READ_BYTES = 16_384
MAX_READ_BYTES = 65_536
# Bytes that wait to be handled before a peer is held back, half of what asyncio takes.
BUFFER_BYTES = 8192
# Bytes that a peer has not read beyond which no further message of it is handled, and
# no further large reply is written.
UNSENT_BYTES = 16_384
# Size from which a reply is large, in bytes.
LARGE_REPLY_BYTES = 4096
# Buffers of a connection with an incomplete frame or unread replies, in bytes: of the
# stream and of what is decoded.
BUFFERS_BYTES = 32_768
# Time between checks whether reading may go on, in seconds.
PAUSE_S = 0.005


class InboundConnection:
    """Writes replies to a peer and counts its messages that are being handled.

    Args:
        writer: The connection.
        receive_buffer: The kernel's buffer of the connection.
        memory: Bounds the incomplete frames of all connections.

    Attributes:
        sender: Name of the peer; empty until it is known.
        running: Number of its messages that are being handled.
        heard_at: Monotonic time at which bytes last arrived, in seconds.
        large_reply: Held while a large reply waits for the ones before it to be read.
    """

    def __init__(
        self,
        writer: asyncio.StreamWriter,
        receive_buffer: ReceiveBuffer,
        memory: FrameMemory,
    ) -> None:
        self._frames = FrameReader(memory, self.close)
        self.sender = ""
        self.running = 0
        self.heard_at = time.monotonic()
        self.large_reply = asyncio.Lock()
        self._writer = writer
        writer.transport.max_size = FIRST_READ_BYTES
        writer.transport.set_write_buffer_limits(UNSENT_BYTES)
        self._receive_buffer = receive_buffer

    def may_read(self, running_total: int) -> bool:
        """Returns whether a further message may be handled."""
        return self.running < MAX_RUNNING and (
            running_total < MAX_RUNNING_TOTAL or not self.running
        )

    def feed(self, data: bytes) -> list[Frame]:
        """Returns the frames that ``data`` completes.

        The rest of a large frame is read in larger parts.

        Raises:
            ValueError: The bytes are not valid frames, or too many.
        """
        self.heard_at = time.monotonic()
        frames = self._frames.feed(data)
        transport = self._writer.transport
        if self._frames.held_bytes >= LARGE_FRAME_BYTES:
            transport.max_size = min(2 * transport.max_size, MAX_READ_BYTES)
            self._receive_buffer.enlarge(transport)
        else:
            transport.max_size = FIRST_READ_BYTES
        return frames

    def write(self, frame: Frame) -> None:
        """Writes ``frame``, unless the connection is closed."""
        if not self._writer.is_closing():
            data = pack_frame(frame)
            self._writer.write(data)
            count_sent(frame, len(data))

    async def drain(self) -> None:
        """Waits until the peer has read most of what was written.

        Raises:
            OSError: The connection is lost.
        """
        await self._writer.drain()

    def unsent_bytes(self) -> int:
        """Returns the bytes that the process holds because the peer reads slowly."""
        return self._writer.transport.get_write_buffer_size()

    def held_bytes(self) -> int:
        """Returns about what the process holds of a peer that does not go on.

        It is 0 while nothing waits for the peer: no incomplete frame has arrived, and
        it has read all replies.
        """
        waiting = self._frames.held_bytes + self.unsent_bytes()
        return waiting and waiting + BUFFERS_BYTES

    def close(self) -> None:
        """Aborts the connection."""
        self._receive_buffer.close()
        self._frames.close()
        self._writer.transport.abort()
