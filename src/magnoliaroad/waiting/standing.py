"""The standing of a request among others that want the same room."""

from typing import NamedTuple

from magnoliaroad.relay.plan import RelayTeam
from magnoliaroad.relay.route import RelayRoute

# Time of waiting that makes up for one rank, in seconds. Callers wait for three seconds
# at most, so that ranks nearly always hold and yet nothing waits forever.
RANK_S = 2.0
# Time of waiting that makes up for being the first turn of a program, in seconds: a
# program that has begun loses the work done so far.
FIRST_TURN_S = 0.3
# Largest slack that counts, in seconds; below what one rank weighs.
MAX_SLACK_S = 1.0
# Urgency that engines assume if none is stated, and the range of it; 0 goes first.
USUAL_URGENCY = 5
LEAST_URGENCY = 9
# Urgency of a rank 0 program that has begun, and the steps for a rank and a first turn.
FIRST_RANK_URGENCY = 2
RANK_STEP = 2


class Standing(NamedTuple):
    """What decides which of two requests goes first.

    Attributes:
        rank: Priority of the team, else of the route; 0 is the highest.
        slack_s: Time that the request's program, or else its caller, can lose, in
            seconds.
        has_begun: Whether its program has had a turn, or it has no program.
    """

    rank: int
    slack_s: float
    has_begun: bool

    @property
    def delay_s(self) -> float:
        """Time by which a request without rank, slack and program would go first."""
        slack_s = min(MAX_SLACK_S, max(0.0, self.slack_s))
        first_s = 0.0 if self.has_begun else FIRST_TURN_S
        return RANK_S * self.rank + slack_s + first_s

    @property
    def urgency(self) -> int:
        """The urgency to state to engines: 0 goes first, ``LEAST_URGENCY`` last."""
        urgency = FIRST_RANK_URGENCY + RANK_STEP * self.rank + (not self.has_begun)
        return min(LEAST_URGENCY, urgency)


def rank_of(route: RelayRoute, team: RelayTeam | None) -> int:
    """Returns the priority of the team if it has one, else of the route."""
    if team is not None and team.priority is not None:
        return max(0, team.priority)
    return max(0, route.priority)
