"""A token bucket whose callers pass the current time."""

from collections.abc import Iterable

from magnoliaroad.limits.step import Segment


class TokenBucket:
    """Admits at most ``rate`` x time + ``burst`` requests in any window.

    Lent tokens count towards ``burst`` until their loan is settled, so that the
    bucket does not refill in their place.

    Args:
        rate: Tokens per second.
        burst: Largest number of tokens that the bucket holds.
        now: Time in seconds at which the bucket has ``tokens``.
        tokens: Tokens at ``now``; by default the bucket is full.

    Attributes:
        lent: Tokens in loans that are not settled yet.
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
        """Whether the bucket holds ``burst`` tokens and has no open loan."""
        return self.tokens >= self.burst and not self.lent

    def try_consume(self, now: float, count: float = 1.0) -> bool:
        """Removes ``count`` tokens if available; returns whether it did."""
        self.refill(now)
        if self.tokens < count:
            return False
        self.tokens -= count
        return True

    def wait_s(self, now: float, count: float = 1.0) -> float:
        """Returns the seconds until ``count`` tokens are available."""
        self.refill(now)
        if self.rate <= 0:
            return float("inf") if self.tokens < count else 0.0
        return max(0.0, (count - self.tokens) / self.rate)

    def refill(self, now: float) -> None:
        """Adds the tokens earned since the last update."""
        passed_s = max(0.0, now - self._updated)
        self._updated = max(self._updated, now)
        self._set_tokens(self.tokens + passed_s * self.rate)

    def set_limits(self, now: float, rate: float, burst: float) -> None:
        """Sets rate and burst from ``now`` on without adding tokens."""
        self.refill(now)
        self.rate = rate
        self.burst = burst
        self._set_tokens(self.tokens)

    def apply_segments(
        self, segments: Iterable[Segment], rate: float, burst: float, now: float
    ) -> None:
        """Refills up to ``now`` with the fractions of ``rate`` and ``burst`` in force.

        Args:
            segments: Fractions with their start times, in order.
            rate: The team's rate, in tokens per second.
            burst: The team's burst, in tokens.
            now: Time in seconds.
        """
        for start, fraction in segments:
            if self._updated <= start <= now:
                self.set_limits(start, fraction * rate, fraction * burst)
        self.refill(now)

    def lend(self, now: float, count: float) -> float:
        """Moves up to ``count`` tokens into a loan; returns the number moved."""
        self.refill(now)
        amount = min(count, self.tokens)
        self.tokens -= amount
        self.lent += amount
        return amount

    def settle(self, now: float, amount: float, unspent: float = 0.0) -> None:
        """Ends a loan of ``amount`` tokens, of which ``unspent`` were returned."""
        self.refill(now)
        self.lent = max(0.0, self.lent - amount)
        self._set_tokens(self.tokens + min(unspent, amount))

    def _set_tokens(self, tokens: float) -> None:
        self.tokens = min(tokens, max(0.0, self.burst - self.lent))
