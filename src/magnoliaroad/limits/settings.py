"""Settings of the limits on teams."""

from typing import NamedTuple


class LimitSettings(NamedTuple):
    """How a host holds teams to their rate and burst.

    Attributes:
        longest_wait_s: Longest time that a request waits for a token.
        loan_s: Time in which borrowed tokens must be used.
        right_s: Time that a confirmation of the share table holds.
        confirm_interval_s: Time between confirmations.
        ask_timeout_s: Time after which an unanswered lender is passed over.
        lender_rest_s: Time for which such a lender is passed over.
        ask_interval_s: Shortest time between two asks for a team at one lender.
        prefetch_s: Demand to borrow for in advance.
        absence_s: Time after which a host that is missing loses its shares.
        settle_s: Time in which the last write of an ended host takes effect.
        drift: Largest relative error of a host's clock, and between two.
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
        """Time after which no host can still use a share under an older table."""
        return (self.right_s + self.loan_s) * (1 + 2 * self.drift)
