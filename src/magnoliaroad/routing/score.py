"""Score of a target for a request."""

from typing import NamedTuple


class Score(NamedTuple):
    """Cost of running a request at a target, and its parts for the log.

    The target with the lowest total is chosen. Times are in seconds; the unit
    of ``total`` depends on the policy.

    Attributes:
        total: Value by which targets are compared.
        wait_s: Wait until the target has capacity.
        compute_s: Time to compute the uncached part of the prompt.
        batch_s: Delay from larger batches, to this request and to the others.
        distance_s: Round trip to another data centre.
        cached_tokens: Prompt tokens that are probably cached.
    """

    total: float
    wait_s: float = 0.0
    compute_s: float = 0.0
    batch_s: float = 0.0
    distance_s: float = 0.0
    cached_tokens: int = 0
