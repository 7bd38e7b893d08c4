"""Policy that chooses the target with the fewest in-flight requests."""

from typing import NamedTuple

from magnoliaroad.queueing.job import Job
from magnoliaroad.routing.policies.interface import policy, score_target
from magnoliaroad.routing.score import Score
from magnoliaroad.routing.target_view import TargetView


@policy("least_loaded")
class LeastLoaded(NamedTuple):
    """Settings of the policy.

    Attributes:
        remote_requests: Penalty of a target in another data centre, as a number
            of requests.
    """

    remote_requests: float = 0.5


@score_target.register
def _score(cfg: LeastLoaded, job: Job, view: TargetView) -> Score:
    distance = cfg.remote_requests if view.remote else 0.0
    return Score(view.in_flight + distance, cached_tokens=view.cached_tokens)
