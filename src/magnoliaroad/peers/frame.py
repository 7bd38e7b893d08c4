"""Frames on a stream between two hosts."""

import enum
from typing import Any, NamedTuple

import msgpack

from magnoliaroad.peers.metrics import SENT

MAX_FRAME_BYTES = 8_000_000


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
        fields: Fields of the message.
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
    """Decodes frames from a byte stream."""

    def __init__(self) -> None:
        self._unpacker = msgpack.Unpacker(max_buffer_size=MAX_FRAME_BYTES)

    def feed(self, data: bytes) -> list[Frame]:
        """Returns the frames that ``data`` completes.

        Raises:
            ValueError: The bytes are not valid frames.
        """
        self._unpacker.feed(data)
        return [_to_frame(item) for item in self._unpacker]


def _to_frame(item: Any) -> Frame:
    if not isinstance(item, list) or len(item) != len(Frame._fields):
        raise ValueError(f"not a frame: {item!r:.80}")
    return Frame(*item)
