"""The target that holds most of the prompt."""

from typing import NamedTuple

from magnoliaroad.routing.job import Job
from magnoliaroad.routing.policies.interface import policy, score_target
from magnoliaroad.routing.score import Score
from magnoliaroad.routing.target_view import TargetView

# Keeps the number of requests below one cached token in the sum.
IN_FLIGHT_WEIGHT = 1e-4


@policy("prefix_affinity")
class PrefixAffinity(NamedTuple):
    """Longest cached prefix first, then the fewest requests."""


@score_target.register
def _score(cfg: PrefixAffinity, job: Job, view: TargetView) -> Score:
    total = -view.cached_tokens + IN_FLIGHT_WEIGHT * view.in_flight
    return Score(total, cached_tokens=view.cached_tokens)
