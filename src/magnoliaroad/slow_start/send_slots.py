"""Time slots of hosts that cannot ask the home host of a cold target."""

import math
from collections.abc import Container

from magnoliaroad.relay.target import TargetStart
from magnoliaroad.relay.target_limit import BucketDecision
from magnoliaroad.rendezvous import hash_part

# Length of a slot, in seconds. If all hosts get requests at once, those in their slots
# send one each; the shorter the slots, the fewer these are.
SLOT_S = 0.25


class SendSlots:
    """Spreads the requests of hosts that send a cold target their part of its rate.

    The part of one host of a large fleet is less than a request a second. Token buckets
    would fill at all hosts at about the same time after the loss of a home host, and
    tokens that nobody used would be spent together. Each host therefore has slots of
    its own, at a phase that follows from its name, and sends at most one request in
    each.

    Args:
        name: Name of this host.
    """

    def __init__(self, name: str) -> None:
        self._name = name
        # Rate and number of the last slot that was taken.
        self._taken: dict[TargetStart, tuple[float, int]] = {}

    def take(
        self, start: TargetStart, now: float, rate: float, longest_wait_s: float
    ) -> BucketDecision:
        """Takes the slot of now, or the next one if it begins soon enough.

        Args:
            start: The target.
            now: Time in seconds.
            rate: Requests a second of this host.
            longest_wait_s: Longest time that the request may wait.
        """
        position = now * rate + self._phase(start)
        first = math.floor(position)
        if position - first >= rate * SLOT_S:
            first += 1
        taken = self._taken.get(start)
        # Slots of another rate, as after a change of the number of hosts, have passed.
        slot = first if taken is None or taken[0] != rate else max(first, taken[1] + 1)
        wait_s = max(0.0, (slot - position) / rate)
        if wait_s > longest_wait_s:
            return BucketDecision(False, wait_s)
        self._taken[start] = rate, slot
        return BucketDecision(True, wait_s)

    def retain(self, names: Container[str]) -> None:
        """Drops the slots of targets that are not in ``names``."""
        self._taken = {
            start: taken for start, taken in self._taken.items() if start.name in names
        }

    def _phase(self, start: TargetStart) -> float:
        """Returns by which part of a slot's interval this host's slots are earlier."""
        return hash_part(start.name, self._name)
