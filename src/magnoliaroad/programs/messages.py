"""Messages between entry hosts and owners of programs."""

from typing import Any, NamedTuple

from magnoliaroad.programs.call import Call
from magnoliaroad.programs.outcome import Outcome
from magnoliaroad.refusal import Refusal


class TurnBeginRequest(NamedTuple):
    """An entry host asks to begin a turn.

    Attributes:
        call: The call.
        attempt: Unique id of the run; the same when asked again.
        host: Name of the entry host.
        budget: Budget of a new program, in tokens.
    """

    TAG = "TurnBegin"
    call: Call
    attempt: str
    host: str
    budget: int


class TurnBeginReply(NamedTuple):
    """Answer to a request to begin.

    Attributes:
        owned: Whether the host that answers may act; if not, ask again.
        refusal: Why the turn may not run; ``None`` when it may.
        number: Number of the turn.
        max_tokens: Most tokens of the answer.
        reserved: Tokens reserved.
        messages: Whole history with the new messages; ``None`` when the
            messages of the call are that.
        answer: Answer that is kept of a repeated turn; nothing is to run.
    """

    owned: bool
    refusal: Refusal | None = None
    number: int = 0
    max_tokens: int = 0
    reserved: int = 0
    messages: list[dict[str, Any]] | None = None
    answer: dict[str, Any] | None = None


class TurnFinishRequest(NamedTuple):
    """An entry host reports the end of a turn."""

    TAG = "TurnFinish"
    program: str
    attempt: str
    outcome: Outcome


class ProgramStartRequest(NamedTuple):
    """An entry host starts a program."""

    TAG = "ProgramOpen"
    program: str
    team: str
    budget: int


class ProgramEndRequest(NamedTuple):
    """A caller ends a program."""

    TAG = "ProgramEnd"
    program: str
    team: str


class ProgramStateRequest(NamedTuple):
    """A caller looks at a program."""

    TAG = "ProgramLook"
    program: str
    team: str


class ProgramReply(NamedTuple):
    """Answer about a program.

    Attributes:
        owned: Whether the host that answers may act; if not, ask again.
        succeeded: Whether it was done; false when the program is not known.
        state: State of the program, where it was asked for.
    """

    owned: bool
    succeeded: bool = False
    state: dict[str, Any] | None = None


class AttemptCheckRequest(NamedTuple):
    """An owner asks an entry host about runs that should go on there."""

    TAG = "TurnsAsk"
    attempts: tuple[str, ...]


class AttemptCheckReply(NamedTuple):
    """Those runs that do not go on at the entry host."""

    TAG = "TurnsGone"
    inactive: tuple[str, ...]


class ReleaseRequest(NamedTuple):
    """Asks the host that orders a target to have programs released."""

    TAG = "ReleaseOrder"
    target: str
    programs: tuple[str, ...]


class ReleaseReply(NamedTuple):
    """Programs of which the target holds nothing any more."""

    TAG = "ReleaseDone"
    programs: tuple[str, ...]


class ProgramLivenessRequest(NamedTuple):
    """Asks an owner which of these programs may still be called."""

    TAG = "AliveAsk"
    programs: tuple[str, ...]


class ProgramLivenessReply(NamedTuple):
    """What an owner knows; programs that it may not answer for are in neither.

    Attributes:
        alive: Programs that may still be called or run.
        dead: Programs that have ended or were never there.
    """

    TAG = "AliveAnswer"
    alive: tuple[str, ...]
    dead: tuple[str, ...]
