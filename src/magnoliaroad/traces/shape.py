"""Distribution of the programs of one kind."""

from typing import NamedTuple

# Lower and upper bound.
Range = tuple[float, float]


class Shape(NamedTuple):
    """Parameters of a kind of program; ranges are sampled log-uniformly.

    Attributes:
        name: Name of the kind of program.
        share: Share of all programs that are not helpers.
        turns: Number of turns.
        shared_tokens: Tokens of the instructions that the programs of a team share.
        new_tokens: Tokens that each turn appends to the history.
        answer_tokens: Tokens of each answer.
        pause_s: Time between an answer and the next turn, such as a tool call.
        helper_share: Probability that a helper starts after a turn, except the last.
    """

    name: str
    share: float
    turns: Range
    shared_tokens: int
    new_tokens: Range
    answer_tokens: Range
    pause_s: Range
    helper_share: float = 0.0
