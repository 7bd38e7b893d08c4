"""The rates that targets state in their answers, and buckets that keep them."""

from collections.abc import Container
from typing import NamedTuple

from magnoliaroad.relay.target import RelayTarget, TargetStart, start_of

# Requests a second that a limited target gets at least: without any request, the end of
# its limit would not be noticed.
MIN_RATE = 0.25
# Time over which unused requests of a limited target add up, in seconds.
BURST_S = 1.0
# Parts of a bucket that are kept for requests that gain more by their target: those
# whose prompt it holds come before first tries, and these before further tries.
PROMPT_HELD, FIRST_TRY, FURTHER_TRY = 0.0, 0.5, 0.75
# Time that a limit is kept after the entry of its target is gone, in seconds: entries
# that have expired while the store was out of reach return.
RETENTION_S = 120.0


class StatedLimit(NamedTuple):
    """What a target has stated last.

    Attributes:
        rate: Requests a second that it takes from all hosts together; ``None`` if it
            states no limit.
        stated_at: Monotonic time of the statement, in seconds.
    """

    rate: float | None
    stated_at: float


class TargetLimits:
    """The newest limit that each target has stated, to this host or to a peer."""

    def __init__(self) -> None:
        self._stated: dict[TargetStart, StatedLimit] = {}

    def find(self, target: RelayTarget) -> StatedLimit | None:
        """Returns what a target has stated last; ``None`` if it never had a limit."""
        # Each request asks for each of its targets, and mostly none ever had a limit.
        return self._stated.get(start_of(target)) if self._stated else None

    def is_limited(self, target: RelayTarget) -> bool:
        """Returns whether a target has a limit, as far as this host knows."""
        stated = self.find(target)
        return stated is not None and stated.rate is not None

    def record(self, target: RelayTarget, rate: float | None, at: float) -> bool:
        """Records what a target has stated; returns whether its limit has changed.

        Args:
            target: The target.
            rate: Requests a second; ``None`` if its answer states no limit.
            at: Time in seconds at which the answer arrived or, of one without a limit,
                its request was sent: the answer may be older than a limit that was
                stated meanwhile.
        """
        start = start_of(target)
        known = self._stated.get(start)
        if known is None and rate is None:
            return False
        if known is not None and at < known.stated_at:
            return False
        self._stated[start] = StatedLimit(rate, at)
        return known is None or known.rate != rate

    def sweep(self, now: float, names: Container[str]) -> None:
        """Drops what targets that left ``names`` stated ``RETENTION_S`` ago."""
        self._stated = {
            start: stated
            for start, stated in self._stated.items()
            if start.name in names or now - stated.stated_at < RETENTION_S
        }


class TargetBucket:
    """Token bucket of a limited target; it starts empty.

    Waiting requests reserve tokens that are not there yet, so they are sent in the
    order of their arrival.

    Args:
        now: Time in seconds.
    """

    def __init__(self, now: float) -> None:
        self._at = now
        self._tokens = 0.0

    def take(
        self,
        now: float,
        rate: float,
        reserved_part: float,
        longest_wait_s: float = 0.0,
        burst: float | None = None,
    ) -> "BucketDecision":
        """Takes a token for one request, if it may be sent soon enough.

        Args:
            now: Time in seconds.
            rate: Requests a second.
            reserved_part: Part of the bucket that the request leaves to others.
            longest_wait_s: Longest time that the request may wait.
            burst: Most tokens of the bucket, if fewer than those of ``BURST_S``.
        """
        self._tokens = self._tokens_at(now, rate, burst)
        self._at = max(self._at, now)
        wait_s = self.wait_s(now, rate, reserved_part, burst)
        if wait_s > longest_wait_s:
            return BucketDecision(False, wait_s)
        self._tokens -= 1.0
        return BucketDecision(True, wait_s)

    def wait_s(
        self, now: float, rate: float, reserved_part: float, burst: float | None = None
    ) -> float:
        """Returns the time until ``take`` admits a request, and takes nothing."""
        tokens, most = self._tokens_at(now, rate, burst), _burst_of(rate, burst)
        reserved = min(reserved_part * most, most - 1.0)
        return max(0.0, (1.0 + reserved - tokens) / rate)

    def _tokens_at(self, now: float, rate: float, burst: float | None) -> float:
        earned = rate * max(0.0, now - self._at)
        return min(_burst_of(rate, burst), self._tokens + earned)


def _burst_of(rate: float, burst: float | None) -> float:
    """Returns the most tokens of a bucket; ``burst`` lowers the usual number."""
    usual_burst = max(1.0, rate * BURST_S)
    return usual_burst if burst is None else min(burst, usual_burst)


class BucketDecision(NamedTuple):
    """Whether a request may be sent to a limited target.

    Attributes:
        admitted: Whether it may be, after ``wait_s``.
        wait_s: Seconds until a request like this one may be sent.
    """

    admitted: bool
    wait_s: float
