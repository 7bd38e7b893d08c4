"""Policy that sends requests to each target in turn."""

from typing import NamedTuple

from magnoliaroad.queueing.job import Job
from magnoliaroad.routing.policies.interface import policy, score_target
from magnoliaroad.routing.score import Score
from magnoliaroad.routing.target_view import TargetView


@policy("round_robin")
class RoundRobin(NamedTuple):
    """Settings of the policy: none."""


@score_target.register
def _score(cfg: RoundRobin, job: Job, view: TargetView) -> Score:
    return Score(view.placed, cached_tokens=view.cached_tokens)
