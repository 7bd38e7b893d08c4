"""Settings of team rate limiting."""

from typing import NamedTuple


class LimitSettings(NamedTuple):
    """How a host enforces the rate and burst of teams.

    Attributes:
        longest_wait_s: Longest time a request waits for a token.
        loan_s: Time from the request for a loan to its expiry.
        right_s: Time for which a confirmation of the share table is valid.
        confirm_interval_s: Time between confirmations.
        ask_timeout_s: Time after which a lender that has not answered is in cooldown.
        lender_rest_s: Length of that cooldown, in which the lender is not asked.
        ask_interval_s: Shortest time between loan requests for a team to one lender.
        prefetch_s: Time span of recent demand to borrow for in advance.
        absence_s: Time after which a host that is absent loses its shares.
        settle_s: Time within which the last write of an ended host takes effect.
        drift: Largest relative error of a host's clock, and between two clocks.
        retry_spread_s: Time over which retries of refused requests are spread.
    """

    longest_wait_s: float = 0.5
    loan_s: float = 0.5
    right_s: float = 10.0
    confirm_interval_s: float = 2.0
    ask_timeout_s: float = 0.1
    lender_rest_s: float = 1.0
    ask_interval_s: float = 0.02
    prefetch_s: float = 0.1
    absence_s: float = 5.0
    settle_s: float = 3.0
    drift: float = 0.001
    retry_spread_s: float = 5.0

    @property
    def gain_delay_s(self) -> float:
        """Time after which no host can still use a share from an older table."""
        return (self.right_s + self.loan_s) * (1 + 2 * self.drift)
