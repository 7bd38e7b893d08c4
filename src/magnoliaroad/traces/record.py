"""Types of the records in a trace file."""

from typing import NamedTuple, TypedDict


class TurnRecord(TypedDict):
    """A turn: one call of a program.

    Attributes:
        new_tokens: Tokens that the caller appends to the history.
        answer_tokens: Tokens of the answer.
        pause_s: Time between the answer and the next call, such as a tool call.
        helpers: Ids of the programs that start when the answer arrives; the next
            call waits for them to end.
    """

    new_tokens: int
    answer_tokens: int
    pause_s: float
    helpers: list[str]


class ProgramRecord(TypedDict):
    """A program: a sequence of calls, each of which depends on the previous one.

    Attributes:
        program: Unique id.
        team: Name of its team.
        shape: Name of its shape.
        start_s: Time of the first call; of a helper, the start time of the program
            that starts it, since the helper's own start depends on the replay.
        shared_tokens: Length of the prefix that it shares with the team's other
            programs of this shape, in tokens.
        helper: Whether another program starts it.
        turns: Its turns in order.
    """

    program: str
    team: str
    shape: str
    start_s: float
    shared_tokens: int
    helper: bool
    turns: list[TurnRecord]


class TeamRecord(TypedDict):
    """A team and its rate limit.

    Attributes:
        name: Name of the team.
        weight: Relative share of the engines.
        rate: Granted rate in requests per second.
        burst: Requests that it may send at once after an idle period.
    """

    name: str
    weight: float
    rate: float
    burst: float


class Outcomes(TypedDict):
    """Upper bounds that the results of a replay must meet.

    Attributes:
        mean_latency_s: Mean program latency.
        p95_latency_s: 95th percentile of program latency.
        worst_team_ratio: Ratio of a team's mean latency to its mean latency when it
            runs alone, for the team with the highest ratio.
        recomputed_token_ratio: Share of the prompt tokens that were recomputed.
        wrongful_refusals: Refused requests of teams within their rate.
    """

    mean_latency_s: float
    p95_latency_s: float
    worst_team_ratio: float
    recomputed_token_ratio: float
    wrongful_refusals: int


class TraceHeader(TypedDict):
    """The first line of a trace.

    Attributes:
        trace: Name of the workload.
        version: Version of the file format.
        seed: Seed from which the trace was generated.
        teams: Teams of the trace.
        outcomes: Bounds for replay results; ``None`` if none are stated.
    """

    trace: str
    version: int
    seed: int
    teams: list[TeamRecord]
    outcomes: Outcomes | None


class Trace(NamedTuple):
    """A complete trace.

    Attributes:
        header: Header line of the file.
        programs: Program lines of the file.
    """

    header: TraceHeader
    programs: list[ProgramRecord]
