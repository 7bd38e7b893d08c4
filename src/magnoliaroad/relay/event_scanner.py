"""Incremental parser of server-sent events."""

from typing import NamedTuple

EVENT_END = b"\n\n"
DATA_FIELD = b"data"
BYTE_ORDER_MARK = b"\xef\xbb\xbf"


class StreamTooLong(ValueError):
    """A stream has exceeded one of its limits."""


class EventLimits(NamedTuple):
    """What a stream may carry.

    Attributes:
        event_bytes: Most bytes of an event.
        filler_bytes: Most bytes between two events with data that belong to neither,
            such as comments. They are cheap to send and cost time to parse.
        data_bytes: Most bytes of data of all events, if they are kept.
        events: Most events with data; ``None`` for no limit.
    """

    event_bytes: int = 4_194_304
    filler_bytes: int = 65_536
    data_bytes: int = 4_194_304
    events: int | None = None


DEFAULT_LIMITS = EventLimits()


class EventScanner:
    r"""Splits a byte stream into events as it arrives.

    Lines end with ``\n``, ``\r\n`` or ``\r``; an empty line ends an event.

    Args:
        limits: What the stream may carry.
        keeps_data: Whether to keep the data of the events.

    Attributes:
        count: Complete events with data so far.
        data: Data of those events, each followed by a line feed; empty if it is not
            kept.
    """

    def __init__(
        self, limits: EventLimits = DEFAULT_LIMITS, keeps_data: bool = True
    ) -> None:
        self.count = 0
        self.data = bytearray()
        self._limits = limits
        self._keeps_data = keeps_data
        self._partial = bytearray()
        # Bytes since the last event with data that belong to no event.
        self._filler_bytes = 0
        self._after_cr = False
        self._mark = BYTE_ORDER_MARK

    def feed(self, piece: bytes) -> None:
        """Parses the next bytes of the stream.

        Raises:
            StreamTooLong: The stream exceeds its limits.
        """
        if not piece:
            return
        if self._after_cr:
            piece = piece.removeprefix(b"\n")
        self._after_cr = piece.endswith(b"\r")
        if b"\r" in piece:
            piece = piece.replace(b"\r\n", b"\n").replace(b"\r", b"\n")
        searched = max(0, len(self._partial) - len(EVENT_END) + 1)
        self._partial += piece
        end = self._partial.rfind(EVENT_END, searched)
        if end >= 0:
            events = bytes(self._partial[:end]).split(EVENT_END)
            del self._partial[: end + len(EVENT_END)]
            for event in events:
                self._add(event.removeprefix(self._mark))
                self._mark = b""
        self._check_event_size(len(self._partial))

    def _add(self, event: bytes) -> None:
        size = len(event) + len(EVENT_END)
        self._check_event_size(size)
        fields = [line.partition(b":") for line in event.split(b"\n")]
        lines = [
            value.removeprefix(b" ") for name, _, value in fields if name == DATA_FIELD
        ]
        if not lines:
            self._filler_bytes += size
            if self._filler_bytes > self._limits.filler_bytes:
                raise StreamTooLong(f"{self._limits.filler_bytes} B without data")
            return
        self._filler_bytes = 0
        self.count += 1
        if self._limits.events is not None and self.count > self._limits.events:
            raise StreamTooLong(f"more than {self._limits.events} events")
        if self._keeps_data:
            self.data += b"\n".join(lines) + b"\n"
            if len(self.data) > self._limits.data_bytes:
                raise StreamTooLong(f"more than {self._limits.data_bytes} B of data")

    def _check_event_size(self, size: int) -> None:
        if size > self._limits.event_bytes:
            raise StreamTooLong(f"no event within {self._limits.event_bytes} B")

    @property
    def unfinished_bytes(self) -> int:
        """Bytes of the event that has not ended."""
        return len(self._partial)

    @property
    def complete(self) -> bool:
        """Whether the stream ends between events.

        Whole comment lines are no part of an event; a line without its end is.
        """
        *lines, rest = self._partial.removeprefix(self._mark).split(b"\n")
        return not rest and all(not line or line.startswith(b":") for line in lines)
