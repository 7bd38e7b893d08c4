"""Settings of the quarantine."""

from typing import NamedTuple


class QuarantineSettings(NamedTuple):
    """Detection of requests that crash targets, and how long they are refused.

    Attributes:
        crashes_to_block: Number of crashes after which a request is refused if it is
            the only one that was lost in so many. After one more crash, every
            request that was lost in all of them is refused.
        block_s: How long a request is refused.
        evidence_s: How long a crash counts as evidence against a request, and an answer
            against the crashes before it.
        gather_s: Time after the first lost request in which further requests lost on
            the same target count to the same crash. All connections of a crashed
            target end within a few round trips.
        settle_s: Time that a detector waits for reports of a crash from other hosts.
            The request can crash more targets in this time.
        watch_s: Maximum duration of one watch of the store.
        remembered: Maximum number of completed requests that a host remembers, and of
            unanswered ones.
    """

    crashes_to_block: int = 2
    block_s: float = 1800.0
    evidence_s: float = 900.0
    gather_s: float = 0.2
    settle_s: float = 0.4
    watch_s: float = 15.0
    remembered: int = 10_000
