"""What is recorded of a program, in the order of its sequence."""

from typing import Any, NamedTuple

import msgpack

from magnoliaroad.peers import MessageCatalogue
from magnoliaroad.verdict import Verdict


class ProgramStarted(NamedTuple):
    """The program was started by a call of its own.

    Attributes:
        team: Team that owns the program.
        budget: Tokens that the program and its children may use.
    """

    TAG = "Opened"
    team: str
    budget: int


class TurnBegun(NamedTuple):
    """A turn may run.

    Attributes:
        team: Team that owns the program.
        budget: Tokens that the program and its children may use.
        attempt: Unique id of this run of the turn.
        host: Entry host that runs it.
        messages: New messages.
        reserved: Tokens reserved.
        route: Route of the call.
        extra_bytes: Size of what else goes into the prompt.
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
    """A turn has ended.

    Attributes:
        attempt: Id of the run.
        verdict: Whether it ran.
        answer: Answer that was kept; ``None`` without a whole one.
        charged: Tokens that the budget loses.
        prompt_tokens: Tokens of the prompt by the engine's report.
        target: Engine that ran it; empty if unknown.
        lapsed: Whether its entry host was lost before it reported.
    """

    attempt: str
    verdict: Verdict
    answer: dict[str, Any] | None
    charged: int
    prompt_tokens: int = 0
    target: str = ""
    lapsed: bool = False


class ProgramEnded(NamedTuple):
    """The program takes no more calls."""

    TAG = "Ended"
    reason: str


class ProgramReleased(NamedTuple):
    """An engine has confirmed that it holds nothing of the program."""

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
    """Returns the event in ``data``; raises ``ValueError`` for other data."""
    return _CATALOGUE.unpack(*msgpack.unpackb(data))
