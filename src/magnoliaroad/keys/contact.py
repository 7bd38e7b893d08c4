"""Tracks when a host last had contact with the rest of the fleet."""

import math


class LastContact:
    """Time of the last contact with the store or another data centre.

    Hosts exchange the age of their contact and not its time, so their clocks may
    differ. After the start the age is infinite until a contact is recorded.
    """

    def __init__(self) -> None:
        self._last = -math.inf

    def record(self, now: float, age_s: float = 0.0) -> None:
        """Records a contact that took place ``age_s`` before ``now``.

        For an age received from a peer, pass the time at which the request was sent.
        With the time of the response, hosts that reach only each other would renew
        their contact by the network delay of each exchange.
        """
        self._last = max(self._last, now - age_s)

    def age_s(self, now: float) -> float:
        """Returns the seconds since the last contact."""
        return max(0.0, now - self._last)
