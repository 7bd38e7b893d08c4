"""A request in the queue."""

from typing import NamedTuple

from magnoliaroad.routing.job import Job


class QueueEntry(NamedTuple):
    """A waiting request, sorted by its rank.

    Attributes:
        rank: Attained tokens of its program, aged; lower goes first.
        sequence: Order of arrival.
        queued_at: Time of arrival in seconds.
        job: The request.
    """

    rank: float
    sequence: int
    queued_at: float
    job: Job
