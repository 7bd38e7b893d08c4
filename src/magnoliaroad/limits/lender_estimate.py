"""A borrower's estimate of the tokens that a lender has."""

from typing import NamedTuple


class LenderEstimate(NamedTuple):
    """An estimate from a lender's last answer.

    It only guides which lenders are asked: a wrong estimate delays a request but
    never lets a team exceed its rate.

    Attributes:
        answered_at: Time of the last answer.
        left: Tokens that the lender had left at ``answered_at``.
        rivals: Other hosts that had asked for more tokens than were available.
        asked_at: Time of the last loan request.
        cooldown_until: Time before which the lender is not asked again.
    """

    answered_at: float = float("-inf")
    left: float = 0.0
    rivals: int = 0
    asked_at: float = float("-inf")
    cooldown_until: float = float("-inf")

    def rate(self, rate: float) -> float:
        """Returns this host's expected part of a lender's ``rate``."""
        return rate / (1 + self.rivals)

    def tokens(self, now: float, rate: float, burst: float) -> float:
        """Returns the tokens to expect from a lender with ``rate`` and ``burst``."""
        if now < self.cooldown_until:
            return 0.0
        if self.answered_at == float("-inf"):
            return burst
        return min(burst, self.left + (now - self.answered_at) * self.rate(rate))
