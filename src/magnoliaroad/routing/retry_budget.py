"""Limits retries to a fraction of the requests."""


class RetryBudget:
    """Token bucket of retries, refilled by first attempts.

    Args:
        ratio: Retries added for each request, such as 0.1.
        burst: Maximum retries in the budget, and its initial value.
    """

    def __init__(self, ratio: float, burst: float) -> None:
        self.ratio = ratio
        self.burst = burst
        self._left = burst

    def deposit(self) -> None:
        """Adds the share of a first attempt to the budget."""
        self._left = min(self.burst, self._left + self.ratio)

    def withdraw(self) -> bool:
        """Takes one retry from the budget; returns ``False`` if none is left."""
        if self._left < 1.0:
            return False
        self._left -= 1.0
        return True
