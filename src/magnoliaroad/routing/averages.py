"""Recent service time and answer length of a target's requests."""

from magnoliaroad.routing.usage import Usage

SMOOTHING_FACTOR = 0.05


class Averages:
    """Exponential moving averages over the requests of one target.

    Attributes:
        service_s: Seconds from sending a request to its end.
        answer_tokens: Tokens generated for an answer.
    """

    def __init__(self) -> None:
        self.service_s = 2.0
        self.answer_tokens = 100.0

    def add(self, took_s: float, usage: Usage) -> None:
        """Updates the averages with a finished request."""
        self.service_s += SMOOTHING_FACTOR * (took_s - self.service_s)
        change = usage.completion_tokens - self.answer_tokens
        self.answer_tokens += SMOOTHING_FACTOR * change
