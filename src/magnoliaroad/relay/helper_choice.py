"""Chooses the peer that sends a request in the place of a host that is cut off."""

import random
from collections import Counter
from collections.abc import Callable, Collection, Iterable
from typing import NamedTuple

# Time for which a peer that did not send a request is not asked again, in seconds: as
# long as a peer that is cut off itself takes to find targets reachable again.
UNABLE_S = 0.5


class Helper(NamedTuple):
    """A peer that may send requests for this host.

    Attributes:
        host: Its name.
        near: Whether it is in this host's data centre.
        in_flight: Its own requests in flight at targets, by its last heartbeat.
        data_centre: Its data centre.
    """

    host: str
    near: bool
    in_flight: int
    data_centre: str = ""


class HelperChoice:
    """Spreads the requests of a host that is cut off over its peers.

    Peers of its data centre go first. For the load pattern of a data centre with most
    hosts cut off: the one with the least work is chosen, so that requests go to other
    data centres as soon as the near peers refuse more.

    Args:
        helpers: Returns the peers in contact that are neither slow nor stopping.
    """

    def __init__(self, helpers: Callable[[], Iterable[Helper]]) -> None:
        self._helpers = helpers
        self._sent: Counter[str] = Counter()
        self._unable_until: dict[str, float] = {}

    def choose(
        self,
        now: float,
        tried: Collection[str],
        data_centres: Collection[str] | None = None,
    ) -> str | None:
        """Returns a peer that is not in ``tried``; ``None`` if no other may help.

        Args:
            now: Time in seconds.
            tried: Names of peers that have been asked.
            data_centres: Data centres that may see the request; ``None`` for any.
        """
        able = [
            helper
            for helper in self._helpers()
            if helper.host not in tried
            and self._unable_until.get(helper.host, 0.0) <= now
            and (data_centres is None or helper.data_centre in data_centres)
        ]
        if not able:
            return None
        # Ties go to a random peer: hosts that are cut off together spread their work.
        random.shuffle(able)
        return min(able, key=self._rank).host

    def _rank(self, helper: Helper) -> tuple[bool, int]:
        return not helper.near, helper.in_flight + self._sent[helper.host]

    def record_start(self, host: str) -> None:
        """Counts a request that a peer sends for this host."""
        self._sent[host] += 1

    def record_end(self, host: str) -> None:
        """Counts the end of a request at a peer."""
        self._sent[host] -= 1
        if not self._sent[host]:
            del self._sent[host]

    def record_unable(self, host: str, now: float) -> None:
        """Leaves a peer out for ``UNABLE_S``."""
        self._unable_until = {
            name: until for name, until in self._unable_until.items() if until > now
        }
        self._unable_until[host] = now + UNABLE_S
