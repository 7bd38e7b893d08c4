"""Policy that serves the team with the least service first."""

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


@policy("worst_team")
class WorstTeam(NamedTuple):
    """Settings of the policy.

    The team with the least service goes first, and within it the program with
    the least attained service.

    Attributes:
        cost: Settings of the expected cost.
        order: Settings of the queue.
    """

    cost: CostSettings = CostSettings()
    order: QueueOrder = QueueOrder(slack_tokens=4_000.0)


@score_target.register
def _score(cfg: WorstTeam, job: Job, view: TargetView) -> Score:
    return expected_cost(cfg.cost, cfg.order.engine_batch, job, view)


@queue_order.register
def _order(cfg: WorstTeam) -> QueueOrder:
    return cfg.order
