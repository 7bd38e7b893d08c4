"""Policy that chooses the target with the longest cached prefix of the prompt."""

from typing import NamedTuple

from magnoliaroad.queueing.job import Job
from magnoliaroad.routing.policies.interface import policy, score_target
from magnoliaroad.routing.score import Score
from magnoliaroad.routing.target_view import TargetView

# Small enough that in-flight requests only decide between equal prefixes.
IN_FLIGHT_WEIGHT = 1e-4


@policy("prefix_affinity")
class PrefixAffinity(NamedTuple):
    """Settings of the policy: none. Ties go to the fewest in-flight requests."""


@score_target.register
def _score(cfg: PrefixAffinity, job: Job, view: TargetView) -> Score:
    total = -view.cached_tokens + IN_FLIGHT_WEIGHT * view.in_flight
    return Score(total, cached_tokens=view.cached_tokens)
