"""Incremental parser of server-sent events."""

EVENT_END = b"\n\n"
DATA_FIELD = b"data:"


class EventScanner:
    """Splits a byte stream into events as it arrives.

    Attributes:
        count: Complete events so far.
        data: Data of those events, each followed by a line feed.
    """

    def __init__(self) -> None:
        self.count = 0
        self.data = bytearray()
        self._partial = b""

    def feed(self, piece: bytes) -> None:
        """Parses the next bytes of the stream."""
        *events, self._partial = (self._partial + piece).split(EVENT_END)
        for event in events:
            lines = [
                line[len(DATA_FIELD) :].removeprefix(b" ")
                for line in event.replace(b"\r", b"").split(b"\n")
                if line.startswith(DATA_FIELD)
            ]
            if lines:
                self.count += 1
                self.data += b"\n".join(lines) + b"\n"

    @property
    def complete(self) -> bool:
        """Whether the stream ends at the end of an event."""
        return not self._partial.strip()
