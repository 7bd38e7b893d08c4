"""Decides whether a target's answer belongs to a request, and whether it is whole."""

from collections import deque
from typing import NamedTuple, Self

from magnoliaroad.relay.dialect import AnswerHead
from magnoliaroad.relay.event_scanner import EventScanner
from magnoliaroad.relay.request_memory import HeldMemory
from magnoliaroad.relay.target import RelayTarget
from magnoliaroad.targets import (
    AnswerCut,
    TargetAnswer,
    TargetError,
    TargetFull,
    WrongTarget,
)
from magnoliaroad.verdict import Verdict

# Media type of a stream of events.
EVENT_STREAM = "text/event-stream"
# HTTP status of a target that is not the one named in the request.
MISDIRECTED = 421
# HTTP status with which a target rejects a request without an id.
BAD_REQUEST = 400
# Largest answer of a plain service that is buffered before it is passed on, in bytes.
# An answer that breaks off while it is buffered can still be retried or refused.
MAX_BUFFERED_BYTES = 262_144


class OpenAnswer(NamedTuple):
    """An answer of a target whose headers have arrived.

    Attributes:
        target: Target that answers.
        response: Its response.
        head: The fields of its headers.
        parts: Parts of the body that were buffered; empty for a stream.
        complete: Whether they are the whole body.
    """

    target: RelayTarget
    response: TargetAnswer
    head: AnswerHead
    parts: deque[bytes] = deque(maxlen=0)
    complete: bool = False

    @property
    def succeeded(self) -> bool:
        """Whether the status is that of a success."""
        return self.response.status < 300

    def check_owner(self, request_id: str) -> None:
        """Closes the connection if the answer is not that of the request.

        Targets echo the id of a request, and reject requests without one.

        Raises:
            TargetError: The answer does not state that it belongs to the request.
        """
        stated_id = self.head.request_id
        can_be_matched = bool(stated_id) or self.response.status == BAD_REQUEST
        if stated_id == request_id and can_be_matched:
            return
        self.response.close_connection()
        text = f"answer belongs to request {stated_id!r}"
        raise TargetError(text, Verdict.MAY_HAVE_RUN)

    def check_accepted(self) -> None:
        """Checks that the target ran the request.

        Raises:
            WrongTarget: Another target answered.
            TargetFull: The target did not run the request.
            TargetError: The answer is a success without the target's signature.
        """
        if self.response.status == MISDIRECTED:
            address, name = self.target.address, self.target.name
            raise WrongTarget(f"{address} is not the address of {name}")
        if self.head.refused:
            raise TargetFull(f"refused with status {self.response.status}")
        if self.succeeded and (not self.head.signed or self.head.encoded):
            raise TargetError("answer not signed by the target", Verdict.MAY_HAVE_RUN)

    async def buffer(self, held: HeldMemory) -> Self:
        """Returns the answer with its body, or the start of a large one.

        Args:
            held: Memory of the body; without enough of it less is buffered.

        Raises:
            AnswerCut: The body broke off.
        """
        parts, size = deque(), 0
        async for part in self.response.iter_chunks():
            parts.append(part)
            size += len(part)
            if size > MAX_BUFFERED_BYTES or not held.take_spare(size):
                return self._replace(parts=parts)
        return self._replace(parts=parts, complete=True)

    @property
    def has_events(self) -> bool:
        """Whether the body is a stream of events.

        One without a media type is taken for such a stream.
        """
        media_type = self.response.headers.get("Content-Type", EVENT_STREAM)
        is_events = media_type.partition(";")[0].strip().lower() == EVENT_STREAM
        return self.succeeded and is_events

    def check_events(self, scanner: EventScanner) -> None:
        """Checks that a stream of events ended between two of them.

        Raises:
            AnswerCut: It ended inside an event.
        """
        if self.has_events and not scanner.complete:
            raise AnswerCut("stream ended inside an event")
