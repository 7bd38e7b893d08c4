"""State of a target that a policy scores."""

from typing import NamedTuple


class TargetView(NamedTuple):
    """The data about a target on which a policy bases its score.

    Attributes:
        name: Name of the target.
        in_flight: Estimated number of requests at the target.
        placed: Total requests that this host has sent to it.
        cached_tokens: Prompt tokens that are probably in its prefix cache.
        remote: Whether it is in another data centre.
        service_s: Average seconds from sending a request to its end.
        answer_tokens: Average tokens generated for an answer.
        affinity: Hash of the program and target, scaled to the range 0 to 1;
            all hosts compute the same value.
    """

    name: str
    in_flight: int = 0
    placed: int = 0
    cached_tokens: int = 0
    remote: bool = False
    service_s: float = 1.0
    answer_tokens: float = 100.0
    affinity: float = 0.0
