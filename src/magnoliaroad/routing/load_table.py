"""How much work each target has, by all that a host knows."""

import collections

from magnoliaroad.routing.load_report import LoadReport


class LoadTable:
    """Own work, hints of peers and reports of targets.

    Args:
        hint_lifetime_s: Age at which a peer's hint is dropped.

    Attributes:
        own: This host's work in flight at each target.
        placed: Requests that this host has sent to each target so far.
    """

    def __init__(self, hint_lifetime_s: float) -> None:
        self.hint_lifetime_s = hint_lifetime_s
        self.own: collections.Counter[str] = collections.Counter()
        self.placed: collections.Counter[str] = collections.Counter()
        self._peer_in_flight: collections.Counter[str] = collections.Counter()
        self._peer_loads: dict[str, tuple[float, dict[str, int]]] = {}
        self._reports: dict[str, tuple[float, LoadReport]] = {}

    def add_request(self, target: str) -> None:
        """Counts a request sent to ``target``."""
        self.own[target] += 1
        self.placed[target] += 1

    def remove_request(self, target: str) -> None:
        """Counts a request of ``target`` as ended."""
        self.own[target] -= 1
        if self.own[target] <= 0:
            del self.own[target]

    def update_peer(self, host: str, in_flight: dict[str, int], now: float) -> None:
        """Replaces the counts of peer ``host``."""
        self._drop(host)
        self._peer_loads[host] = (now, in_flight)
        self._peer_in_flight.update(in_flight)

    def update_report(self, target: str, report: LoadReport, now: float) -> None:
        """Takes a target's own report."""
        self._reports[target] = (now, report)

    def expire(self, now: float) -> None:
        """Drops hints of peers that have not been heard of for long."""
        for host, (received_at, _) in list(self._peer_loads.items()):
            if now - received_at > self.hint_lifetime_s:
                self._drop(host)

    def in_flight(self, target: str) -> int:
        """Returns the requests that are probably at ``target``."""
        counted = self.own[target] + self._peer_in_flight[target]
        if self._peer_loads or target not in self._reports:
            return counted
        # Without word from peers, the report is all there is of their work.
        report = self._reports[target][1]
        return max(counted, report.running + report.waiting)

    def waiting(self, target: str) -> int:
        """Returns the requests in the target's own queue, as last reported."""
        entry = self._reports.get(target)
        return 0 if entry is None else entry[1].waiting

    def _drop(self, host: str) -> None:
        entry = self._peer_loads.pop(host, None)
        if entry is not None:
            self._peer_in_flight.subtract(entry[1])
