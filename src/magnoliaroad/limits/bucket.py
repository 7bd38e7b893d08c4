"""A token bucket; time is an argument of each call."""

from collections.abc import Iterable

from magnoliaroad.limits.step import Segment


class TokenBucket:
    """Admits at most ``rate`` x time + ``burst`` requests in any window.

    Tokens that were lent count as still in the bucket until the loan is
    settled: the bucket does not refill in their place.

    Args:
        rate: Tokens per second.
        burst: Largest number of tokens that gather.
        now: Time in seconds at which the bucket has ``tokens``.
        tokens: Tokens at the start; a full bucket when left out.

    Attributes:
        lent: Tokens of loans that are not settled.
    """

    __slots__ = ("_updated", "burst", "lent", "rate", "tokens")

    def __init__(
        self, rate: float, burst: float, now: float, tokens: float | None = None
    ) -> None:
        self.rate = rate
        self.burst = burst
        self.tokens = burst if tokens is None else tokens
        self.lent = 0.0
        self._updated = now

    @property
    def full(self) -> bool:
        """Whether nothing is missing and nothing is lent."""
        return self.tokens >= self.burst and not self.lent

    def take(self, now: float, count: float = 1.0) -> bool:
        """Takes ``count`` tokens if they are there."""
        self.refill(now)
        if self.tokens < count:
            return False
        self.tokens -= count
        return True

    def wait_s(self, now: float, count: float = 1.0) -> float:
        """Returns the seconds until ``count`` tokens are there."""
        self.refill(now)
        if self.rate <= 0:
            return float("inf") if self.tokens < count else 0.0
        return max(0.0, (count - self.tokens) / self.rate)

    def refill(self, now: float) -> None:
        """Adds the tokens of the time since the last call."""
        passed_s = max(0.0, now - self._updated)
        self._updated = max(self._updated, now)
        self._set_tokens(self.tokens + passed_s * self.rate)

    def set_limits(self, now: float, rate: float, burst: float) -> None:
        """Changes rate and burst from ``now`` on; adds no tokens."""
        self.refill(now)
        self.rate = rate
        self.burst = burst
        self._set_tokens(self.tokens)

    def apply_segments(
        self, segments: Iterable[Segment], rate: float, burst: float, now: float
    ) -> None:
        """Refills through ``segments``, each a fraction of ``rate`` and ``burst``."""
        for start, fraction in segments:
            if self._updated <= start <= now:
                self.set_limits(start, fraction * rate, fraction * burst)
        self.refill(now)

    def lend(self, now: float, count: float) -> float:
        """Takes up to ``count`` tokens for a loan and returns how many."""
        self.refill(now)
        amount = min(count, self.tokens)
        self.tokens -= amount
        self.lent += amount
        return amount

    def settle(self, now: float, amount: float, unspent: float = 0.0) -> None:
        """Ends a loan of ``amount``, of which ``unspent`` tokens came back."""
        self.refill(now)
        self.lent = max(0.0, self.lent - amount)
        self._set_tokens(self.tokens + min(unspent, amount))

    def _set_tokens(self, tokens: float) -> None:
        self.tokens = min(tokens, max(0.0, self.burst - self.lent))
