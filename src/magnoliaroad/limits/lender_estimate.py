"""What a borrower believes that a lender has."""

from typing import NamedTuple


class LenderEstimate(NamedTuple):
    """A guess from a lender's last answer; being wrong costs time only.

    Attributes:
        answered_at: Time of the last answer.
        left: Tokens that the lender had left then.
        rivals: Other hosts that were asking for more than there was.
        asked_at: Time of the last ask.
        cooldown_until: Time until which the lender is passed over.
    """

    answered_at: float = float("-inf")
    left: float = 0.0
    rivals: int = 0
    asked_at: float = float("-inf")
    cooldown_until: float = float("-inf")

    def rate(self, rate: float) -> float:
        """Returns this host's likely part of a lender's ``rate``."""
        return rate / (1 + self.rivals)

    def tokens(self, now: float, rate: float, burst: float) -> float:
        """Returns the tokens expected of a lender with ``rate`` and ``burst``."""
        if now < self.cooldown_until:
            return 0.0
        if self.answered_at == float("-inf"):
            return burst
        return min(burst, self.left + (now - self.answered_at) * self.rate(rate))
