"""How long ago a host last had contact with the rest of the fleet."""

import math


class LastContact:
    """Age of the last contact with the store or another data centre.

    Only durations are compared, so clocks of hosts may differ.

    A host that has just started has no contact until it hears of one.
    """

    def __init__(self) -> None:
        self._last = -math.inf

    def record(self, now: float, age_s: float = 0.0) -> None:
        """Notes that contact existed ``age_s`` before ``now``.

        For an age that a peer told, ``now`` is the time it was asked: hosts that
        only hear each other must not add the way of each answer to their contact.
        """
        self._last = max(self._last, now - age_s)

    def age_s(self, now: float) -> float:
        """Returns the seconds since the last contact."""
        return max(0.0, now - self._last)
