"""What requests have lately taken at a target."""

from magnoliaroad.routing.usage import Usage

SMOOTHING_FACTOR = 0.05


class Averages:
    """Running means.

    Attributes:
        service_s: Time from sending a request to its end.
        answer_tokens: Tokens of an answer.
    """

    def __init__(self) -> None:
        self.service_s = 2.0
        self.answer_tokens = 100.0

    def add(self, took_s: float, usage: Usage) -> None:
        """Takes an ended request into the means."""
        self.service_s += SMOOTHING_FACTOR * (took_s - self.service_s)
        change = usage.completion_tokens - self.answer_tokens
        self.answer_tokens += SMOOTHING_FACTOR * change
