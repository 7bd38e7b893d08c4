"""A model of the format of server-sent events that reads one byte at a time."""

BYTE_ORDER_MARK = b"\xef\xbb\xbf"


class EventModel:
    """The events of a whole stream, as the standard's rules give them.

    Attributes:
        events: Data of each event that has any.
        complete: Whether the stream ends between events.
    """

    def __init__(self, stream):
        self.events = []
        self.complete = True
        self._data = []
        self._line = bytearray()
        stream = stream.removeprefix(BYTE_ORDER_MARK)
        for place, byte in enumerate(stream):
            if byte == 10 and stream[place - 1 : place] == b"\r":
                continue
            if byte in (10, 13):
                self._end_line(bytes(self._line))
                self._line.clear()
            else:
                self._line.append(byte)
        self.complete = self.complete and not self._line

    def _end_line(self, line):
        if not line:
            if self._data:
                self.events.append(b"\n".join(self._data))
            self._data, self.complete = [], True
            return
        if line.startswith(b":"):
            return
        self.complete = False
        name, _, value = line.partition(b":")
        if name == b"data":
            self._data.append(value.removeprefix(b" "))
