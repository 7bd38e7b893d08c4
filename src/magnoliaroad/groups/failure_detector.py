"""Decides which hosts to probe and which of them to suspect."""

from collections.abc import Collection, Mapping

from magnoliaroad.rendezvous import highest_ranked

# Limit of unresponsive hosts that are probed again in one round.
SILENT_LIMIT = 8


class FailureDetector:
    """Ring-based failure detector: each host probes its successor by name.

    Each data centre has a ring of its own. The sole host of a data centre has
    no neighbours, so a host of another data centre probes it.

    Args:
        name: Name of this host.
        suspect_after_s: Seconds without an answer after which a host is
            suspected.
    """

    def __init__(self, name: str, suspect_after_s: float) -> None:
        self.name = name
        self.suspect_after_s = suspect_after_s
        self._silent_since: dict[str, float] = {}

    def hosts_to_probe(
        self, hosts_by_data_centre: Mapping[str, Collection[str]], data_centre: str
    ) -> list[str]:
        """Returns unresponsive hosts, the next responsive one, and sole hosts.

        Args:
            hosts_by_data_centre: Names of the hosts of each data centre.
            data_centre: Data centre of this host.
        """
        names = {name for hosts in hosts_by_data_centre.values() for name in hosts}
        for name in set(self._silent_since) - names:
            del self._silent_since[name]
        others = sorted(
            name
            for name in hosts_by_data_centre.get(data_centre, ())
            if name != self.name
        )
        ring = [n for n in others if n > self.name]
        ring += [n for n in others if n < self.name]
        silent = sorted(self._silent_since)[:SILENT_LIMIT]
        nearest = [n for n in ring if n not in self._silent_since][:1]
        sole = [
            n
            for n in self._sole_hosts(hosts_by_data_centre, names)
            if n not in self._silent_since
        ]
        return silent + nearest + sole

    def record_reply(self, name: str) -> None:
        """Records that ``name`` answered a probe."""
        self._silent_since.pop(name, None)

    def record_silence(self, name: str, now: float) -> None:
        """Records that ``name`` did not answer a probe sent at ``now``."""
        self._silent_since.setdefault(name, now)

    def suspected(self, now: float) -> frozenset[str]:
        """Returns the hosts that have not answered for ``suspect_after_s``."""
        return frozenset(
            name
            for name, since in self._silent_since.items()
            if now - since >= self.suspect_after_s
        )

    def _sole_hosts(
        self, hosts_by_data_centre: Mapping[str, Collection[str]], names: set[str]
    ) -> list[str]:
        """Returns the sole hosts of data centres that this host has to probe."""
        sole = [
            name
            for hosts in hosts_by_data_centre.values()
            if len(hosts) == 1
            for name in hosts
        ]
        return [
            name
            for name in sole
            if highest_ranked(f"probe/{name}", names - {name}) == self.name
        ]
