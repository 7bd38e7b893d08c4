"""Messages between entry hosts and owners of programs."""

from typing import Any, NamedTuple

from magnoliaroad.programs.call import Call
from magnoliaroad.programs.outcome import Outcome
from magnoliaroad.refusal import Refusal


class TurnBeginRequest(NamedTuple):
    """Asks the owner to begin a turn.

    Attributes:
        call: The call.
        attempt: Unique id of the run; the same when the request is repeated.
        host: Name of the entry host.
        budget: Budget of a new program, in tokens.
    """

    TAG = "TurnBegin"
    call: Call
    attempt: str
    host: str
    budget: int


class TurnBeginReply(NamedTuple):
    """Reply to a request to begin a turn.

    Attributes:
        owned: Whether the replying host may act for the program; if not, the
            request is to be repeated.
        refusal: Why the turn may not run; ``None`` when it may.
        number: Number of the turn.
        max_tokens: Largest number of answer tokens.
        reserved: Tokens reserved.
        messages: Whole history with the new messages; ``None`` if the call
            already holds all of them.
        answer: Kept answer if the call repeats a turn, which must not run again.
    """

    owned: bool
    refusal: Refusal | None = None
    number: int = 0
    max_tokens: int = 0
    reserved: int = 0
    messages: list[dict[str, Any]] | None = None
    answer: dict[str, Any] | None = None


class TurnFinishRequest(NamedTuple):
    """Reports the end of a turn to the owner."""

    TAG = "TurnFinish"
    program: str
    attempt: str
    outcome: Outcome


class ProgramStartRequest(NamedTuple):
    """Asks the owner to start a program."""

    TAG = "ProgramOpen"
    program: str
    team: str
    budget: int


class ProgramEndRequest(NamedTuple):
    """Asks the owner to end a program and its children."""

    TAG = "ProgramEnd"
    program: str
    team: str


class ProgramStateRequest(NamedTuple):
    """Asks the owner for the state of a program."""

    TAG = "ProgramLook"
    program: str
    team: str


class ProgramReply(NamedTuple):
    """Reply to the other requests about a program.

    Attributes:
        owned: Whether the replying host may act for the program; if not, the
            request is to be repeated.
        succeeded: Whether the request was carried out; false if the program or
            the run is not known.
        state: State of the program, if it was asked for.
    """

    owned: bool
    succeeded: bool = False
    state: dict[str, Any] | None = None


class AttemptCheckRequest(NamedTuple):
    """Asks an entry host which of these attempts no longer run there."""

    TAG = "TurnsAsk"
    attempts: tuple[str, ...]


class AttemptCheckReply(NamedTuple):
    """Attempts that do not run at the entry host."""

    TAG = "TurnsGone"
    inactive: tuple[str, ...]


class ReleaseRequest(NamedTuple):
    """Asks the owner of a target's group to release programs on the target."""

    TAG = "ReleaseOrder"
    target: str
    programs: tuple[str, ...]


class ReleaseReply(NamedTuple):
    """Programs whose release the target has confirmed."""

    TAG = "ReleaseDone"
    programs: tuple[str, ...]


class ProgramLivenessRequest(NamedTuple):
    """Asks an owner which of these programs are alive."""

    TAG = "AliveAsk"
    programs: tuple[str, ...]


class ProgramLivenessReply(NamedTuple):
    """Reply with the programs that the replying host may act for.

    Attributes:
        alive: Programs that have not ended or still have an open turn.
        dead: Programs that have ended or are unknown.
    """

    TAG = "AliveAnswer"
    alive: tuple[str, ...]
    dead: tuple[str, ...]
