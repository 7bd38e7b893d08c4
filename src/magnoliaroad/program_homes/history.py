"""The hosts that accounted for programs before the set of hosts changed."""

import collections
from collections.abc import Sequence

from magnoliaroad.rendezvous import highest_ranked

# Sets of hosts that are remembered. As a store is lost, hosts notice it one after the
# other within half a second, and the set changes with many of them.
REMEMBERED = 8
# Time for which a set is remembered, in seconds: longer than programs last.
RETENTION_S = 30.0


class HomeHistory:
    """The sets of hosts among which programs have had their home hosts lately.

    For the load pattern of a store that is lost under load: the set of hosts that count
    budgets changes several times, and programs lost the tokens that an earlier home
    host had claimed for them and still held.
    """

    def __init__(self) -> None:
        self._sets: collections.deque[tuple[float, tuple[str, ...]]] = (
            collections.deque(maxlen=REMEMBERED)
        )

    def record(self, hosts: Sequence[str], now: float) -> None:
        """Records the hosts that may be home hosts from now on."""
        if not self._sets or self._sets[-1][1] != tuple(hosts):
            self._sets.append((now, tuple(hosts)))

    def former_homes(self, program: str, now: float) -> list[str]:
        """Returns the home hosts of a program by earlier sets, the latest first."""
        homes: dict[str, None] = {}
        ended_at = now
        for since, hosts in reversed(self._sets):
            # A set is in use until the next one is.
            if now - ended_at > RETENTION_S:
                break
            home = highest_ranked(program, hosts)
            if home is not None:
                homes[home] = None
            ended_at = since
        return list(homes)
