"""The target chosen for a request."""

from typing import NamedTuple

from magnoliaroad.config import Target
from magnoliaroad.queueing.job import Job


class Placement(NamedTuple):
    """A request's slot at a target; the caller must release it.

    Attributes:
        job: The request.
        target: The target that was chosen.
        priority: Priority for the engine; lower runs first.
        placed_at: Time of the decision in seconds.
        charged_tokens: Estimated weighted tokens charged to its team.
    """

    job: Job
    target: Target
    priority: int = 0
    placed_at: float = 0.0
    charged_tokens: float = 0.0
