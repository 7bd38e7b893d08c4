"""Incremental parser of server-sent events."""

EVENT_END = b"\n\n"
DATA_FIELD = b"data"
BYTE_ORDER_MARK = b"\xef\xbb\xbf"


class EventScanner:
    r"""Splits a byte stream into events as it arrives.

    Lines end with ``\n``, ``\r\n`` or ``\r``; an empty line ends an event.

    Attributes:
        count: Complete events with data so far.
        data: Data of those events, each followed by a line feed.
    """

    def __init__(self) -> None:
        self.count = 0
        self.data = bytearray()
        self._partial = b""
        self._after_cr = False
        self._mark = BYTE_ORDER_MARK

    def feed(self, piece: bytes) -> None:
        """Parses the next bytes of the stream."""
        if not piece:
            return
        if self._after_cr:
            piece = piece.removeprefix(b"\n")
        self._after_cr = piece.endswith(b"\r")
        if b"\r" in piece:
            piece = piece.replace(b"\r\n", b"\n").replace(b"\r", b"\n")
        *events, self._partial = (self._partial + piece).split(EVENT_END)
        for event in events:
            self._add(event.removeprefix(self._mark))
            self._mark = b""

    def _add(self, event: bytes) -> None:
        fields = [line.partition(b":") for line in event.split(b"\n")]
        lines = [
            value.removeprefix(b" ") for name, _, value in fields if name == DATA_FIELD
        ]
        if lines:
            self.count += 1
            self.data += b"\n".join(lines) + b"\n"

    @property
    def complete(self) -> bool:
        """Whether the stream ends between events.

        Whole comment lines are no part of an event; a line without its end is.
        """
        *lines, rest = self._partial.removeprefix(self._mark).split(b"\n")
        return not rest and all(not line or line.startswith(b":") for line in lines)
