"""Splits the stream of an engine into events without parsing their data."""

from typing import NamedTuple

from magnoliaroad.relay.event_scanner import DEFAULT_LIMITS, EventLimits, StreamTooLong

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

    Args:
        limits: What the stream may carry.

    Attributes:
        count: Number of events returned so far.
        done: Whether ``[DONE]``, which ends a complete answer, was received.
    """

    def __init__(self, limits: EventLimits = DEFAULT_LIMITS) -> None:
        self.count = 0
        self.done = False
        self._limits = limits
        self._partial = bytearray()
        self._last_event = b""

    @property
    def unfinished_bytes(self) -> int:
        """Bytes of the event that has not ended."""
        return len(self._partial)

    def feed(self, data: bytes) -> bytes:
        """Adds ``data`` and returns the events now complete, without ``[DONE]``.

        Raises:
            StreamTooLong: An event exceeds its limit.
        """
        searched = max(0, len(self._partial) - len(SEPARATOR) + 1)
        self._partial += data
        end = self._partial.rfind(SEPARATOR, searched)
        whole = b""
        if end >= 0:
            end += len(SEPARATOR)
            whole = self._strip_done_event(bytes(self._partial[:end]))
            del self._partial[:end]
        if len(self._partial) > self._limits.event_bytes:
            raise StreamTooLong(f"no event within {self._limits.event_bytes} B")
        if whole:
            self.count += whole.count(SEPARATOR)
            self._last_event = whole[: -len(SEPARATOR)].rpartition(SEPARATOR)[2]
        return whole

    def drop_partial(self) -> None:
        """Discards an incomplete event, before data of a resumed stream is added."""
        self._partial.clear()

    def last_event_id(self) -> int | None:
        """Returns the id of the last event returned by ``feed``; 0 before any event.

        Returns ``None`` if that event has no id: the engine can't resume there
        without repeating or losing text.
        """
        if not self.count:
            return 0
        for line in self._last_event.split(b"\n"):
            number = line.removeprefix(ID_FIELD)
            if line.startswith(ID_FIELD) and number.isdigit():
                return int(number)
        return None

    def _strip_done_event(self, whole: bytes) -> bytes:
        # [DONE] is always last, so it is enough to check the end of the data.
        if not whole.endswith(DONE_EVENT + SEPARATOR):
            return whole
        self.done = True
        return whole[: -len(DONE_EVENT + SEPARATOR)]
