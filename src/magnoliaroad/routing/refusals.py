"""Refusals of requests that were not sent to a target."""

from magnoliaroad.queueing.job import Job
from magnoliaroad.refusal import Refusal


def no_target(job: Job) -> Refusal:
    """Returns the refusal for a route without a usable target."""
    return Refusal(
        code="no_target",
        status=503,
        message=f"No target of route {job.route!r} can take work.",
        action="Send the request again after the retry time.",
        retry_after_s=1.0,
    )


def overloaded(job: Job, wait_s: float) -> Refusal:
    """Returns the refusal for a request whose wait is too long."""
    return Refusal(
        code="overloaded",
        status=503,
        message=f"Route {job.route!r} could start the request in {wait_s:.1f} s only.",
        action="Send the request again after the retry time.",
        retry_after_s=round(max(1.0, wait_s / 2), 1),
    )
