"""The outcome of a placement request."""

from typing import NamedTuple

from magnoliaroad.queueing.job import Job
from magnoliaroad.refusal import Refusal
from magnoliaroad.routing.placement import Placement
from magnoliaroad.routing.score import Score


class Decision(NamedTuple):
    """A placement or a refusal, with the scores behind it.

    Attributes:
        job: The request.
        outcome: Its placement or refusal.
        scores: Scores of the candidate targets; empty for a refusal.
        waited_s: Seconds in the queue.
    """

    job: Job
    outcome: Placement | Refusal
    scores: dict[str, Score]
    waited_s: float = 0.0
