"""The target that was chosen for a request."""

from typing import NamedTuple

from magnoliaroad.config import Target
from magnoliaroad.routing.job import Job


class Placement(NamedTuple):
    """A request's place at a target; it is to be released.

    Attributes:
        job: The request.
        target: The target that was chosen.
        priority: Priority for the engine; lower runs first.
        placed_at: Time of the decision in seconds.
        charged_tokens: Weighted tokens that its team was charged so far.
    """

    job: Job
    target: Target
    priority: int = 0
    placed_at: float = 0.0
    charged_tokens: float = 0.0
