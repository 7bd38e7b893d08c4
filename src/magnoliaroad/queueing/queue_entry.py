"""An entry of the fair queue."""

from typing import NamedTuple

from magnoliaroad.queueing.job import Job


class QueueEntry(NamedTuple):
    """A waiting request; entries are sorted by rank, then by arrival.

    Attributes:
        rank: Attained tokens of its program plus ``ageing_tokens_per_s`` times the
            arrival time; the lowest rank goes first.
        sequence: Sequence number of arrival.
        queued_at: Time of arrival in seconds.
        job: The request.
    """

    rank: float
    sequence: int
    queued_at: float
    job: Job
