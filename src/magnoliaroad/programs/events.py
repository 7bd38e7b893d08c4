"""Events that are recorded for a program, in the order of their sequence."""

from typing import Any, NamedTuple

import msgpack

from magnoliaroad.decoding import unpack
from magnoliaroad.peers import MessageCatalogue
from magnoliaroad.verdict import Verdict


class ProgramStarted(NamedTuple):
    """The program was started by an explicit request, before its first turn.

    Attributes:
        team: Team that owns the program.
        budget: Tokens that the program and its children may use.
    """

    TAG = "Opened"
    team: str
    budget: int


class TurnBegun(NamedTuple):
    """A turn was admitted and its tokens are reserved.

    Attributes:
        team: Team that owns the program.
        budget: Tokens that the program and its children may use.
        attempt: Unique id of this run of the turn.
        host: Entry host that runs it.
        messages: New messages.
        reserved: Tokens reserved.
        route: Route of the call.
        extra_bytes: Bytes of other prompt content, such as tool definitions.
    """

    team: str
    budget: int
    attempt: str
    host: str
    messages: list[dict[str, Any]]
    reserved: int
    route: str
    extra_bytes: int


class TurnSettled(NamedTuple):
    """A turn has ended and is charged to the budget.

    Attributes:
        attempt: Unique id of this run of the turn.
        verdict: Whether the turn ran.
        answer: Answer added to the history; ``None`` without a complete one.
        charged: Tokens charged to the budget.
        prompt_tokens: Prompt tokens reported by the engine; 0 if unknown.
        target: Engine that ran it; empty if unknown.
        lapsed: Whether the owner settled it because its entry host was lost
            before it reported the end.
    """

    attempt: str
    verdict: Verdict
    answer: dict[str, Any] | None
    charged: int
    prompt_tokens: int = 0
    target: str = ""
    lapsed: bool = False


class ProgramEnded(NamedTuple):
    """The program accepts no more calls."""

    TAG = "Ended"
    reason: str


class ProgramReleased(NamedTuple):
    """An engine has confirmed that it holds no memory of the program."""

    TAG = "Released"
    target: str


Event = ProgramStarted | TurnBegun | TurnSettled | ProgramEnded | ProgramReleased

_CATALOGUE = MessageCatalogue(
    (ProgramStarted, TurnBegun, TurnSettled, ProgramEnded, ProgramReleased)
)


def pack_event(event: Event) -> bytes:
    """Returns ``event`` as msgpack."""
    return msgpack.packb(_CATALOGUE.pack(event))


def unpack_event(data: bytes) -> Event:
    """Returns the event packed in ``data``; raises ``ValueError`` for other data."""
    tag, fields = unpack(data, tuple[str, list[Any]])
    return _CATALOGUE.unpack(tag, fields)
