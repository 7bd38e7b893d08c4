"""Policy that minimises the latency of whole programs."""

from typing import NamedTuple

from magnoliaroad.queueing.job import Job
from magnoliaroad.queueing.queue_order import QueueOrder
from magnoliaroad.routing.policies.expected_cost import CostSettings, expected_cost
from magnoliaroad.routing.policies.interface import (
    policy,
    queue_order,
    score_target,
)
from magnoliaroad.routing.score import Score
from magnoliaroad.routing.target_view import TargetView


@policy("program_latency")
class ProgramLatency(NamedTuple):
    """Settings of the policy.

    Programs with the least attained service go first. Fairness between teams
    only takes effect beyond a large difference (``order.slack_tokens``).

    Attributes:
        cost: Settings of the expected cost.
        order: Settings of the queue.
    """

    cost: CostSettings = CostSettings()
    order: QueueOrder = QueueOrder(slack_tokens=50_000.0)


@score_target.register
def _score(cfg: ProgramLatency, job: Job, view: TargetView) -> Score:
    return expected_cost(cfg.cost, cfg.order.engine_batch, job, view)


@queue_order.register
def _order(cfg: ProgramLatency) -> QueueOrder:
    return cfg.order
