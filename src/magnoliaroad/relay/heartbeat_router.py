"""Which hosts receive heartbeats and digests, and the content of digests."""

from collections.abc import Collection, Iterator
from typing import NamedTuple

from magnoliaroad.records.messages import RecordHostHeartbeat
from magnoliaroad.relay.digest import Digest, HeartbeatFilter, sum_counts
from magnoliaroad.relay.fleet_messages import Heartbeat
from magnoliaroad.relay.heartbeat_tracker import HeartbeatTracker
from magnoliaroad.relay.settings import RelaySettings
from magnoliaroad.rendezvous import rendezvous

# Hosts of each data centre that forward heartbeats, so that one of them may fail.
FORWARDERS_PER_DATA_CENTRE = 2
# Ranks that are probed for a forwarder in a data centre from which no heartbeat comes;
# its forwarders are the first of its live hosts by rank.
PROBED_RANKS = 8
# Time for which a choice of forwarders is kept while the membership does not change, in
# seconds. After it, a listed host that has sent no heartbeat may lose the role.
CHOICE_VALID_S = 1.0


class Recipients(NamedTuple):
    """Hosts to which the next messages are sent.

    Attributes:
        heartbeat: Hosts that get this host's heartbeat.
        near: Hosts of this data centre that get a digest of all hosts; empty if this
            host does not forward.
        far: Hosts of other data centres that get a digest of this one's hosts.
    """

    heartbeat: list[str]
    near: list[str]
    far: list[str]


class HeartbeatRouter:
    """Decides which hosts get heartbeats and digests.

    In a small fleet every host sends its heartbeat to all others. In a large one it
    sends it to the forwarders of its data centre, which send digests to all hosts there
    and to the forwarders of other data centres. Each host chooses the forwarders by
    rendezvous hashing over the hosts in contact. While choices differ for a moment,
    some digests arrive twice or late, which does no harm.

    Args:
        cfg: Settings of the host.
        tracker: The known hosts and their last heartbeats.

    Attributes:
        forwards: Whether this host is a forwarder of its data centre.
    """

    def __init__(self, cfg: RelaySettings, tracker: HeartbeatTracker) -> None:
        self.cfg = cfg
        self.forwards = True
        self._tracker = tracker
        self._near_filter = HeartbeatFilter()
        self._far_filter = HeartbeatFilter()
        self._far_hosts: list[str] = []
        self._started: set[str] = set()
        self._probe_rank = 0
        self._chosen: dict[str, list[str]] = {}
        self._chosen_version = -1
        self._chosen_until = 0.0
        self._far_in_flight: dict[str, dict[str, int]] = {}

    def recipients(self, now: float, everybody: bool) -> Recipients:
        """Returns the hosts to which the next messages are sent.

        Args:
            now: Time in seconds.
            everybody: Whether hosts of other data centres get a heartbeat in a small
                fleet.
        """
        tracker = self._tracker
        if not tracker.uses_forwarders:
            self.forwards = True
            hosts = tracker.members.items()
            hosts_due = [
                h for h, address in hosts if everybody or tracker.is_near(address)
            ]
            return Recipients(hosts_due, [], [])
        name, data_centre = self.cfg.name, self.cfg.data_centre
        if self._chosen_version != tracker.version or now >= self._chosen_until:
            self._choose(now)
        own = self._chosen[data_centre]
        chosen = {dc: hosts for dc, hosts in self._chosen.items() if dc != data_centre}
        chosen |= self._choose_probes(self._chosen.keys())
        self.forwards = name in own
        heartbeat = [host for host in own if host != name]
        if not self.forwards:
            return Recipients(heartbeat, [], [])
        far = [host for hosts in chosen.values() for host in hosts]
        if far != self._far_hosts:
            self._far_hosts = far
            self._far_filter.reset()
        near = [h for h, address in tracker.members.items() if tracker.is_near(address)]
        return Recipients(heartbeat, near, far)

    def _choose(self, now: float) -> None:
        """Chooses the forwarders of each data centre that has candidates."""
        data_centres = self._tracker.candidates(now)
        data_centres.setdefault(self.cfg.data_centre, []).append(self.cfg.name)
        self._chosen = {
            data_centre: rendezvous(data_centre, hosts)[:FORWARDERS_PER_DATA_CENTRE]
            for data_centre, hosts in data_centres.items()
        }
        self._chosen_version = self._tracker.version
        self._chosen_until = now + CHOICE_VALID_S

    def _choose_probes(self, known: Collection[str]) -> dict[str, list[str]]:
        """Returns hosts to probe in the data centres that have no candidates.

        Otherwise two data centres out of contact would each wait for the other.
        """
        silent: dict[str, list[str]] = {}
        for host, address in self._tracker.members.items():
            if address.data_centre not in known:
                silent.setdefault(address.data_centre, []).append(host)
        self._probe_rank = (
            self._probe_rank + FORWARDERS_PER_DATA_CENTRE
        ) % PROBED_RANKS
        rank = self._probe_rank
        return {
            data_centre: rendezvous(data_centre, hosts)[
                rank : rank + FORWARDERS_PER_DATA_CENTRE
            ]
            for data_centre, hosts in silent.items()
        }

    def add_started(self, host: str) -> None:
        """Makes the next digest to a host that has started have all heartbeats."""
        self._started.add(host)

    def receive_far(self, digest: Digest) -> None:
        """Records the in-flight requests of the hosts of another data centre."""
        self._far_in_flight[digest.data_centre] = digest.in_flight

    def forget_data_centre(self, data_centre: str) -> None:
        """Drops the in-flight requests of a data centre that has become silent."""
        self._far_in_flight.pop(data_centre, None)

    def digests(
        self,
        now: float,
        own: Heartbeat,
        records: list[tuple[RecordHostHeartbeat, int]],
        recipients: Recipients,
    ) -> Iterator[tuple[list[str], Digest]]:
        """Yields the digests to send, each with the hosts that get it.

        Args:
            now: Time in seconds.
            own: This host's heartbeat.
            records: Record hosts in contact, with the time since their last message in
                milliseconds.
            recipients: The result of ``recipients``.
        """
        started, self._started = self._started, set()
        if recipients.far:
            digest = self._far_digest(now, own)
            yield from self._far_filter.divide(digest, recipients.far, started)
        if recipients.near:
            digest = self._near_digest(now, own, records)
            yield from self._near_filter.divide(digest, recipients.near, started)

    def _near_digest(
        self, now: float, own: Heartbeat, records: list[tuple[RecordHostHeartbeat, int]]
    ) -> Digest:
        """Returns the digest for the hosts of this data centre, with all heartbeats."""
        ages = self._tracker.ages_ms(now)
        heartbeats = [own, *(self._tracker.latest[host].heartbeat for host in ages)]
        near = [
            heartbeat.in_flight
            for heartbeat in heartbeats
            if self._tracker.is_near(heartbeat)
        ]
        return Digest(
            data_centre=self.cfg.data_centre,
            inter_data_centre=False,
            heartbeats=heartbeats,
            ages={own.host: 0, **ages},
            in_flight=sum_counts([*near, *self._far_in_flight.values()]),
            record_hosts=records,
        )

    def _far_digest(self, now: float, own: Heartbeat) -> Digest:
        """Returns the digest for other data centres, with all heartbeats from here."""
        tracker = self._tracker
        ages = {
            host: age_ms
            for host, age_ms in tracker.ages_ms(now).items()
            if tracker.is_near(tracker.latest[host].heartbeat)
        }
        heartbeats = [own, *(tracker.latest[host].heartbeat for host in ages)]
        return Digest(
            data_centre=self.cfg.data_centre,
            inter_data_centre=True,
            heartbeats=heartbeats,
            ages={own.host: 0, **ages},
            in_flight=sum_counts(heartbeat.in_flight for heartbeat in heartbeats),
            record_hosts=[],
        )
