"""A team and its limits."""

from typing import NamedTuple


class Team(NamedTuple):
    """A team with its request rate, weight and token budget.

    Attributes:
        name: Unique name.
        rate: Requests per second across all hosts.
        burst: Requests that may be made at once after an idle period.
        weight: Weight of the team's share of the engines, relative to other teams.
        program_budget: Tokens that one program may use.
    """

    name: str
    rate: float
    burst: float
    weight: float = 1.0
    program_budget: int = 1_000_000
