"""Cuts the stream of an engine into events without parsing them."""

from typing import NamedTuple

SEPARATOR = b"\n\n"
ID_FIELD = b"id: "
DONE_EVENT = b"data: [DONE]"


class ResumePoint(NamedTuple):
    """A place in an engine's stream from which it can go on.

    Attributes:
        engine_request: Id that the engine gave the request.
        last_event: Id of the last whole event that was handed on.
    """

    engine_request: str
    last_event: int


class EventSplitter:
    """Hands whole events on as they come and holds the last one back.

    Attributes:
        count: Events handed on so far.
        done: Whether the event that ends a complete answer has come.
    """

    def __init__(self) -> None:
        self.count = 0
        self.done = False
        self._rest = b""
        self._pieces: list[bytes] = []

    def feed(self, data: bytes) -> bytes:
        """Returns the whole events in ``data``, without the final one."""
        data = self._rest + data
        cut = data.rfind(SEPARATOR)
        if cut < 0:
            self._rest = data
            return b""
        cut += len(SEPARATOR)
        self._rest = data[cut:]
        whole = self._strip_done_event(data[:cut])
        self.count += whole.count(SEPARATOR)
        self._pieces.append(whole)
        return whole

    def drop_partial(self) -> None:
        """Forgets an event that was cut off, before a resumed stream is fed."""
        self._rest = b""

    def last_event_id(self) -> int | None:
        """Returns the id of the last event handed on.

        Returns ``None`` where the last event has no id, since the engine can't
        go on from there without text twice or missing; 0 before any event.
        """
        handed_on = self.events()
        if not handed_on:
            return 0
        last = handed_on[: -len(SEPARATOR)].rpartition(SEPARATOR)[2]
        for line in last.split(b"\n"):
            number = line.removeprefix(ID_FIELD)
            if line.startswith(ID_FIELD) and number.isdigit():
                return int(number)
        return None

    def events(self) -> bytes:
        """Returns all events that were handed on."""
        return b"".join(self._pieces)

    def _strip_done_event(self, whole: bytes) -> bytes:
        # The final event comes last, so most pieces need one look at their end.
        if not whole.endswith(DONE_EVENT + SEPARATOR):
            return whole
        self.done = True
        return whole[: -len(DONE_EVENT + SEPARATOR)]
