"""Settings of hedged requests."""

from typing import NamedTuple


class HedgingSettings(NamedTuple):
    """How much extra work second attempts may cause.

    Attributes:
        extra_share: Second attempts, as part of the requests that may have one; 0 turns
            them off.
        max_per_s: Most second attempts a second for each service, over all hosts.
        percentile: Part of a route's answers that begin sooner than a first attempt
            after which a second one is sent.
    """

    extra_share: float = 0.0
    max_per_s: float = 10.0
    percentile: float = 0.95
