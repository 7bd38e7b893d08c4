"""Settings of the quarantine."""

from typing import NamedTuple


class QuarantineSettings(NamedTuple):
    """How requests that crash targets are found and how long they are refused.

    Attributes:
        crashes_to_block: Crashes after which the only request that was lost in all of
            them is refused; with one more, each that was.
        block_s: Time for which a request is refused.
        evidence_s: Time for which a crash counts against a request.
        gather_s: Time after the first lost request of a crash in which others
            that were lost on the same target belong to it; its connections end
            within some round trips.
        settle_s: Time for which reports of other hosts about a crash are
            waited for. Such a request ends further targets meanwhile.
        watch_s: Longest time that one watch of the store stays open.
        remembered: Number of requests that ended well that a host remembers.
    """

    crashes_to_block: int = 2
    block_s: float = 1800.0
    evidence_s: float = 900.0
    gather_s: float = 0.2
    settle_s: float = 0.4
    watch_s: float = 15.0
    remembered: int = 10_000
