"""The extra work that second attempts may cause."""

# Second attempts that a host may make at once after a time without any. More would load
# a service that has become slow for all requests at the same moment.
MAX_SAVED = 3.0


class HedgeBudget:
    """Second attempts of one host to one service.

    They are a part of its requests, so that a service that is slow for all gets no more
    than that part in addition, and a hard cap a second, of which each host has an equal
    part. So the cap holds over all hosts without a message.

    Args:
        now: Time in seconds.
    """

    def __init__(self, now: float) -> None:
        self._by_share = 0.0
        self._by_cap = 0.0
        self._at = now

    def record_request(self, extra_share: float) -> None:
        """Counts a request that may have a second attempt."""
        self._by_share = min(MAX_SAVED, self._by_share + extra_share)

    def take(self, now: float, cap_per_s: float) -> bool:
        """Takes a second attempt; returns whether there is one.

        Args:
            now: Time in seconds.
            cap_per_s: Most second attempts of this host a second.
        """
        earned = max(0.0, now - self._at) * cap_per_s
        self._by_cap = min(max(1.0, cap_per_s), self._by_cap + earned)
        self._at = now
        if self._by_share < 1.0 or self._by_cap < 1.0:
            return False
        self._by_share -= 1.0
        self._by_cap -= 1.0
        return True
