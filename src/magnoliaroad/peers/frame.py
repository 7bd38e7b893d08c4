"""Frames on a stream between two hosts."""

import enum
from collections.abc import Callable
from typing import Any, NamedTuple

import msgpack
import msgspec

from magnoliaroad.peers.frame_memory import FrameMemory
from magnoliaroad.peers.metrics import SENT

MAX_FRAME_BYTES = 8_000_000
# Size from which an incomplete frame has a scanner of its own, in bytes. A smaller one
# is scanned again with what follows it.
LARGE_FRAME_BYTES = 16_384
# Most that a scanner holds beside a frame, in bytes.
SPARE_BYTES = 131_072
# First byte of a frame: an array of four.
FRAME_START = b"\x94"
_DECODER = msgspec.msgpack.Decoder(tuple[int, int, str, msgspec.Raw])


class FrameKind(enum.IntEnum):
    """Purpose of a frame."""

    REQUEST = 0
    REPLY = 1
    ERROR = 2
    SEND = 3
    HEARTBEAT = 4


class Frame(NamedTuple):
    """A msgpack array on the stream.

    Attributes:
        kind: Purpose of the frame, a ``FrameKind``.
        number: Request id, which a reply repeats; 0 where no reply is expected.
        tag: Message tag, error text, or, in a heartbeat, name of the sending host.
        fields: Fields of the message; packed in a frame that was received.
    """

    kind: int
    number: int
    tag: str = ""
    fields: Any = ()


def pack_frame(frame: Frame) -> bytes:
    """Returns ``frame`` as bytes."""
    return msgpack.packb(frame)


def count_sent(frame: Frame, size: int) -> None:
    """Counts ``size`` bytes of ``frame`` that were written to one connection."""
    kind = FrameKind(frame.kind)
    is_message = kind in (FrameKind.REQUEST, FrameKind.REPLY, FrameKind.SEND)
    SENT.add({"type": frame.tag if is_message else kind.name.lower()}, size)


class FrameReader:
    """Decodes frames from a byte stream.

    An incomplete frame is held as bytes, of which no object is made.

    Args:
        memory: Bounds the incomplete frames of all connections.
        on_dropped: Is called if that of this connection was dropped.

    Attributes:
        held_bytes: Bytes of the incomplete frame.
    """

    def __init__(
        self, memory: FrameMemory, on_dropped: Callable[[], None] = lambda: None
    ) -> None:
        self._memory = memory
        self._on_dropped = on_dropped
        self._dropped = False
        self._chunks: list[bytes] = []
        self.held_bytes = 0
        # Scans an incomplete frame that is large.
        self._scanner: msgpack.Unpacker | None = None

    def feed(self, data: bytes) -> list[Frame]:
        """Returns the frames that ``data`` completes.

        Raises:
            ValueError: The bytes are not valid frames, or too many.
        """
        if self._dropped:
            raise ValueError("frame dropped")
        if self._scanner is None:
            data = self._take_chunks(data)
            if not data.startswith(FRAME_START):
                raise ValueError("not a frame")
            sizes = _complete_sizes(_new_scanner(len(data)), data)
        else:
            sizes = _complete_sizes(self._scanner, data)
            if sizes:
                data = self._take_chunks(data)
        frames, at = [], 0
        for size in sizes:
            frames.append(_to_frame(data[at : at + size]))
            at += size
        if at < len(data):
            self._hold(data[at:] if at else data)
        return frames

    def drop(self) -> None:
        """Frees the incomplete frame; the stream cannot be read further."""
        self._dropped = True
        self._chunks.clear()
        self._scanner = None
        self._on_dropped()

    def close(self) -> None:
        """Frees the incomplete frame at the end of the stream."""
        self._take_chunks(b"")

    def _take_chunks(self, data: bytes) -> bytes:
        """Returns the incomplete frame with ``data`` behind it, and holds none."""
        if not self._chunks:
            return data
        data = b"".join((*self._chunks, data))
        self._chunks.clear()
        self._scanner = None
        self.held_bytes = 0
        self._memory.hold(self.drop, 0)
        return data

    def _hold(self, data: bytes) -> None:
        self._chunks.append(data)
        self.held_bytes += len(data)
        if self.held_bytes > MAX_FRAME_BYTES:
            raise ValueError(f"frame of more than {MAX_FRAME_BYTES} bytes")
        if self._scanner is None and self.held_bytes >= LARGE_FRAME_BYTES:
            self._scanner = _new_scanner(2 * self.held_bytes)
            _complete_sizes(self._scanner, data)
        self._memory.hold(self.drop, self.held_bytes)
        if self._dropped:
            raise ValueError("frame dropped")


def _new_scanner(size: int) -> msgpack.Unpacker:
    """Returns a scanner whose buffer has ``size`` bytes at first."""
    return msgpack.Unpacker(
        read_size=size, max_buffer_size=MAX_FRAME_BYTES + SPARE_BYTES
    )


def _complete_sizes(scanner: msgpack.Unpacker, data: bytes) -> list[int]:
    """Returns the sizes of the frames that end in ``data``, in bytes.

    Args:
        scanner: Has got what was before ``data`` of an incomplete frame.
        data: Bytes of the stream.
    """
    sizes, start = [], 0
    scanner.feed(data)
    try:
        while True:
            scanner.skip()
            end = scanner.tell()
            sizes.append(end - start)
            start = end
    except msgpack.OutOfData:
        return sizes


def _to_frame(data: bytes) -> Frame:
    try:
        return Frame(*_DECODER.decode(data))
    except msgspec.DecodeError as exc:
        raise ValueError(f"not a frame: {exc}") from exc
