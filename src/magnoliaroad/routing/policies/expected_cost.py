"""Expected cost, in seconds, of running a request at a target."""

from typing import NamedTuple

from magnoliaroad.queueing.job import Job
from magnoliaroad.routing.score import Score
from magnoliaroad.routing.target_view import TargetView


class CostSettings(NamedTuple):
    """Speed of an engine and weights of the cost terms.

    Attributes:
        prefill_tokens_per_s: Prompt tokens that an engine computes per second.
        step_per_request_s: Time that each request adds to a decoding step.
        crowding: Weight of the delay that a request causes to other requests.
        remote_s: Round trip to another data centre.
        home_s: Weight of ``TargetView.affinity``, which sends a program to the
            same target when costs are otherwise equal.
    """

    prefill_tokens_per_s: float = 8000.0
    step_per_request_s: float = 0.00045
    crowding: float = 1.0
    remote_s: float = 0.005
    home_s: float = 0.01


def expected_cost(
    cfg: CostSettings, engine_batch: int, job: Job, view: TargetView
) -> Score:
    """Returns the expected cost of running ``job`` at the target of ``view``."""
    over = max(0, view.in_flight - engine_batch + 1)
    wait_s = over * view.service_s / engine_batch
    others = min(view.in_flight, engine_batch)
    missing = max(0, job.prompt_tokens - view.cached_tokens)
    compute_s = missing / cfg.prefill_tokens_per_s * (1 + cfg.crowding * others)
    step_s = cfg.step_per_request_s * others * (1 + cfg.crowding)
    batch_s = step_s * view.answer_tokens
    distance_s = cfg.remote_s if view.remote else 0.0
    total = wait_s + compute_s + batch_s + distance_s + cfg.home_s * view.affinity
    return Score(total, wait_s, compute_s, batch_s, distance_s, view.cached_tokens)
