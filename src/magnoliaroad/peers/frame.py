"""Frames on a stream between two hosts."""

import enum
from collections.abc import Callable
from typing import Any, NamedTuple

import msgpack
import msgspec

from magnoliaroad.peers.frame_memory import FrameMemory
from magnoliaroad.peers.metrics import SENT

MAX_FRAME_BYTES = 8_000_000
# Size from which the buffer of a frame is freed at its end, in bytes.
LARGE_FRAME_BYTES = 131_072
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
    """Returns ``frame`` as bytes and counts them as sent."""
    data = msgpack.packb(frame)
    kind = FrameKind(frame.kind)
    is_message = kind in (FrameKind.REQUEST, FrameKind.REPLY, FrameKind.SEND)
    SENT.add({"type": frame.tag if is_message else kind.name.lower()}, len(data))
    return data


class FrameReader:
    """Decodes frames from a byte stream.

    An incomplete frame is held as bytes, of which no object is made.

    Args:
        memory: Bounds the incomplete frames of all connections.
        on_dropped: Is called if that of this connection was dropped.
    """

    def __init__(
        self, memory: FrameMemory, on_dropped: Callable[[], None] = lambda: None
    ) -> None:
        self._memory = memory
        self._on_dropped = on_dropped
        self._dropped = False
        self._chunks: list[bytes] = []
        self._held_bytes = 0
        self._scanner = _new_scanner()
        # Offset of the incomplete frame among the bytes that were scanned.
        self._start = 0

    def feed(self, data: bytes) -> list[Frame]:
        """Returns the frames that ``data`` completes.

        Raises:
            ValueError: The bytes are not valid frames, or too many.
        """
        if self._dropped:
            raise ValueError("frame dropped")
        sizes = self._complete_sizes(data)
        if not sizes:
            self._hold(data)
            return []
        if self._chunks:
            data = b"".join((*self._chunks, data))
            self._release()
        frames, at = [], 0
        for size in sizes:
            frames.append(_to_frame(data[at : at + size]))
            at += size
        rest = data[at:]
        if at > LARGE_FRAME_BYTES:
            # The buffer of the scanner never shrinks.
            self._scanner, self._start = _new_scanner(), 0
            self._complete_sizes(rest)
        if rest:
            self._hold(rest)
        return frames

    def drop(self) -> None:
        """Frees the incomplete frame; the stream cannot be read further."""
        self._dropped = True
        self._chunks.clear()
        self._scanner = _new_scanner()
        self._on_dropped()

    def close(self) -> None:
        """Frees the incomplete frame at the end of the stream."""
        self._release()

    def _complete_sizes(self, data: bytes) -> list[int]:
        """Returns the sizes of the frames that end in ``data``, in bytes."""
        scanner, sizes = self._scanner, []
        start = self._start
        scanner.feed(data)
        try:
            while True:
                scanner.skip()
                end = scanner.tell()
                sizes.append(end - start)
                start = end
        except msgpack.OutOfData:
            self._start = start
            return sizes

    def _hold(self, data: bytes) -> None:
        self._chunks.append(data)
        self._held_bytes += len(data)
        if self._held_bytes > MAX_FRAME_BYTES:
            raise ValueError(f"frame of more than {MAX_FRAME_BYTES} bytes")
        self._memory.hold(self.drop, self._held_bytes)
        if self._dropped:
            raise ValueError("frame dropped")

    def _release(self) -> None:
        self._chunks.clear()
        self._held_bytes = 0
        self._memory.hold(self.drop, 0)


def _new_scanner() -> msgpack.Unpacker:
    return msgpack.Unpacker(max_buffer_size=MAX_FRAME_BYTES + LARGE_FRAME_BYTES)


def _to_frame(data: bytes) -> Frame:
    try:
        return Frame(*_DECODER.decode(data))
    except msgspec.DecodeError as exc:
        raise ValueError(f"not a frame: {exc}") from exc
