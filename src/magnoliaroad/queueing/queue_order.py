"""Settings of the queue of a route."""

from typing import NamedTuple


class QueueOrder(NamedTuple):
    """Order of the queue and the limit of in-flight requests per engine.

    Attributes:
        engine_batch: Maximum in-flight requests on one engine, from all hosts.
        slack_tokens: Weighted tokens by which a team may exceed the least
            served team before its requests are queued behind that team's.
        ageing_tokens_per_s: Attained tokens that one second of waiting offsets.
        answer_weight: Cost of a generated token, relative to a prompt token
            that has to be computed.
    """

    engine_batch: int = 28
    slack_tokens: float = 20_000.0
    ageing_tokens_per_s: float = 500.0
    answer_weight: float = 8.0
