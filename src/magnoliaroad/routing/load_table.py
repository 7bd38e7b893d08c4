"""Estimated in-flight requests of each target."""

import collections

from magnoliaroad.routing.load_report import LoadReport


class LoadTable:
    """In-flight requests of this host and its peers, and load reports of targets.

    Args:
        hint_lifetime_s: Age in seconds at which a peer's counts are dropped.

    Attributes:
        own: Requests of this host in flight at each target.
        placed: Total requests that this host has sent to each target.
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
        """Removes a finished request of ``target`` from the count."""
        self.own[target] -= 1
        if self.own[target] <= 0:
            del self.own[target]

    def update_peer(self, host: str, in_flight: dict[str, int], now: float) -> None:
        """Replaces the in-flight counts of peer ``host``."""
        self._drop(host)
        self._peer_loads[host] = (now, in_flight)
        self._peer_in_flight.update(in_flight)

    def update_report(self, target: str, report: LoadReport, now: float) -> None:
        """Stores the latest load report of ``target``."""
        self._reports[target] = (now, report)

    def expire(self, now: float) -> None:
        """Drops counts of peers that are older than ``hint_lifetime_s``."""
        for host, (received_at, _) in list(self._peer_loads.items()):
            if now - received_at > self.hint_lifetime_s:
                self._drop(host)

    def in_flight(self, target: str) -> int:
        """Returns the estimated number of requests at ``target``."""
        counted = self.own[target] + self._peer_in_flight[target]
        if self._peer_loads or target not in self._reports:
            return counted
        # Without counts from peers, only the target's report covers their requests.
        report = self._reports[target][1]
        return max(counted, report.running + report.waiting)

    def waiting(self, target: str) -> int:
        """Returns the length of the target's own queue, as last reported."""
        entry = self._reports.get(target)
        return 0 if entry is None else entry[1].waiting

    def _drop(self, host: str) -> None:
        entry = self._peer_loads.pop(host, None)
        if entry is not None:
            self._peer_in_flight.subtract(entry[1])
