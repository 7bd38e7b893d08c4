"""Chooses the hosts that watch the store and the peers that a host gossips with."""

from collections.abc import Iterable

from magnoliaroad.config.location import HostLocation, location_of
from magnoliaroad.peers import Peers
from magnoliaroad.rendezvous import rendezvous


class GossipTopology:
    """One host's role in the gossip between hosts.

    Args:
        peers: Connections to the other hosts; their addresses are the live hosts.
        location: Data centre and name of this host.
        watcher_count: Number of hosts of a data centre that watch the store.
    """

    def __init__(
        self, peers: Peers, location: HostLocation, watcher_count: int
    ) -> None:
        self.location = location
        self._peers = peers
        self._watcher_count = watcher_count
        self._next_index = 0

    def is_watcher(self) -> bool:
        """Whether this host is one of its data centre's watchers."""
        local_hosts = {self.location.host}
        for address in self._peers.addresses():
            if address.data_centre == self.location.data_centre:
                local_hosts.add(address.host)
        return self.location.host in choose_watchers(local_hosts, self._watcher_count)

    def gossip_peers(self) -> list[str]:
        """Returns the peers that this host notifies and compares with."""
        locations = [location_of(address) for address in self._peers.addresses()]
        return ring_fingers(self.location, locations)

    def next_gossip_peer(self) -> str | None:
        """Returns the gossip peers round-robin; ``None`` when there are none."""
        gossip_peers = self.gossip_peers()
        if not gossip_peers:
            return None
        self._next_index += 1
        return gossip_peers[self._next_index % len(gossip_peers)]

    def in_other_data_centre(self, host: str) -> bool:
        """Whether ``host`` is known to be in another data centre."""
        return any(
            address.data_centre not in ("", self.location.data_centre)
            for address in self._peers.addresses()
            if address.host == host
        )


def choose_watchers(hosts: Iterable[str], count: int) -> list[str]:
    """Returns the ``count`` hosts that rank first by rendezvous hashing."""
    return rendezvous("watch", hosts)[:count]


def ring_fingers(own: HostLocation, others: Iterable[HostLocation]) -> list[str]:
    """Returns the hosts 1, 2, 4, ... positions after ``own`` on the sorted ring.

    These are the fingers of the Chord protocol: a notice that each host forwards to
    its fingers reaches ``n`` hosts in at most ``log2(n)`` hops, and each host
    receives it from ``log2(n)`` others.
    """
    ring = sorted({own, *others})
    start = ring.index(own)
    steps = (1 << power for power in range(len(ring).bit_length()))
    return [ring[(start + step) % len(ring)].host for step in steps if step < len(ring)]
