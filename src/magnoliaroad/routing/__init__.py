"""Queues requests and chooses a target for each."""

from magnoliaroad.queueing.job import Job
from magnoliaroad.routing.dispatcher import Dispatcher
from magnoliaroad.routing.placement import Placement
from magnoliaroad.routing.prefix import prefix_digests
from magnoliaroad.routing.retry_budget import RetryBudget
from magnoliaroad.routing.service import PlacementService
from magnoliaroad.routing.settings import RoutingSettings
from magnoliaroad.routing.usage import Usage

__all__ = [
    "Dispatcher",
    "Job",
    "Placement",
    "PlacementService",
    "RetryBudget",
    "RoutingSettings",
    "Usage",
    "prefix_digests",
]
