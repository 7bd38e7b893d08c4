"""Splits the stream of an engine into events without parsing their data."""

from typing import NamedTuple

SEPARATOR = b"\n\n"
ID_FIELD = b"id: "
DONE_EVENT = b"data: [DONE]"


class ResumePoint(NamedTuple):
    """The position from which an engine can resume a stream.

    Attributes:
        engine_request: Id of the request, assigned by the engine.
        last_event: Id of the last complete event that was forwarded; 0 for none.
    """

    engine_request: str
    last_event: int


class EventSplitter:
    """Returns complete events as they arrive and withholds the final ``[DONE]``.

    Attributes:
        count: Number of events returned so far.
        done: Whether ``[DONE]``, which ends a complete answer, was received.
    """

    def __init__(self) -> None:
        self.count = 0
        self.done = False
        self._rest = b""
        self._pieces: list[bytes] = []

    def feed(self, data: bytes) -> bytes:
        """Adds ``data`` and returns the events now complete, without ``[DONE]``."""
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
        """Discards an incomplete event, before data of a resumed stream is added."""
        self._rest = b""

    def last_event_id(self) -> int | None:
        """Returns the id of the last event returned by ``feed``; 0 before any event.

        Returns ``None`` if that event has no id: the engine can't resume there
        without repeating or losing text.
        """
        forwarded = self.events()
        if not forwarded:
            return 0
        last = forwarded[: -len(SEPARATOR)].rpartition(SEPARATOR)[2]
        for line in last.split(b"\n"):
            number = line.removeprefix(ID_FIELD)
            if line.startswith(ID_FIELD) and number.isdigit():
                return int(number)
        return None

    def events(self) -> bytes:
        """Returns all events that ``feed`` has returned."""
        return b"".join(self._pieces)

    def _strip_done_event(self, whole: bytes) -> bytes:
        # [DONE] is always last, so it is enough to check the end of the data.
        if not whole.endswith(DONE_EVENT + SEPARATOR):
            return whole
        self.done = True
        return whole[: -len(DONE_EVENT + SEPARATOR)]
