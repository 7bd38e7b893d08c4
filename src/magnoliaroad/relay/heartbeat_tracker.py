"""The known relay hosts and the last heartbeat of each."""

from collections.abc import Iterable, Mapping
from typing import NamedTuple

from magnoliaroad.peers import PeerAddress
from magnoliaroad.relay.fleet_messages import Heartbeat
from magnoliaroad.relay.heartbeat_state import state_of, use_of
from magnoliaroad.relay.settings import RelaySettings

# Least time without a heartbeat from any host of a data centre before that data centre
# counts as silent; five heartbeat intervals of a small fleet.
MIN_DATA_CENTRE_SILENCE_S = 0.5
# Consecutive missing heartbeats, over all hosts of a data centre, before it counts as
# silent.
DATA_CENTRE_MISSED_HEARTBEATS = 12
# Consecutive missing heartbeats of one host before it counts as out of contact.
HOST_MISSED_HEARTBEATS = 4
# The same for a host whose heartbeats arrive through forwarders; its interval already
# covers several hops.
FORWARDED_MISSED_HEARTBEATS = 1.5
# Largest fleet in which every host sends its heartbeat to all others.
MAX_DIRECT_HOSTS = 24
# Most heartbeats a second that a host of such a fleet sends to its own data centre and
# to the others. With more hosts the intervals grow.
MAX_NEAR_HEARTBEATS_PER_S = 50.0
MAX_FAR_HEARTBEATS_PER_S = 35.0
# Most digests a second that a forwarder sends to its own data centre.
MAX_DIGESTS_PER_S = 100.0
# Intervals that the state of a host in another data centre may take to arrive: one for
# its heartbeat and one for a digest in each of the two data centres.
FAR_HOPS = 3
# Consecutive missing digests before a data centre counts as silent.
DATA_CENTRE_MISSED_DIGESTS = 3.5
# Time for which a listed host may be a forwarder before its first heartbeat arrives, in
# seconds; as long as a host takes from writing its entry to its first heartbeat.
FIRST_HEARTBEAT_WAIT_S = 2.0
# Least time between the starts of two incarnations of a host, in seconds. It exceeds
# the time that a heartbeat takes to arrive.
MIN_RESTART_GAP_S = 0.5
# Age of a heartbeat below which no later incarnation of its host has started, in
# seconds; a host takes longer to start.
INCARNATION_FRESH_S = 0.4
# Time out of contact after which a host counts as lost, with what only it knows, in
# seconds. Callers are owed an answer that soon after a disruption.
HOST_LOST_S = 3.0


class ReceivedHeartbeat(NamedTuple):
    """The newest heartbeat of a peer and the time at which it was received."""

    heartbeat: Heartbeat
    received_at: float


class HeartbeatTracker:
    """Keeps the last heartbeat of each peer and decides which peers are in contact.

    Args:
        cfg: Settings of the host.
        began: Time in seconds from which silence is measured for hosts that have sent
            no heartbeat.

    Attributes:
        members: Addresses of the other relay hosts, by name.
        latest: Newest heartbeat of each host, by name.
        silent: Hosts that were out of contact at the last call of ``update_silent``.
        silent_data_centres: Other data centres with no host in contact at that call.
        near_interval_s: Time between heartbeats to hosts of this data centre.
        far_interval_s: Mean time between heartbeats to hosts of other data centres.
        uses_forwarders: Whether heartbeats reach most hosts through forwarders.
        version: Increases whenever the hosts in contact change, or the state that
            decides what they are used for.
    """

    def __init__(self, cfg: RelaySettings, began: float) -> None:
        self.cfg = cfg
        self.members: dict[str, PeerAddress] = {}
        self.latest: dict[str, ReceivedHeartbeat] = {}
        self.silent: set[str] = set()
        self.silent_data_centres: set[str] = set()
        self.near_interval_s = self.far_interval_s = cfg.fleet.beat_interval_s
        self.uses_forwarders = False
        self.version = 0
        self._began = began
        self._known_at: dict[str, float] = {}
        self._started: dict[str, float] = {}
        self._newest_age_s: dict[str, float] = {}
        self._returned: set[str] = set()
        self._silent_since: dict[str, float] = {}
        self._contacts: tuple[int, dict[str, Heartbeat]] = (-1, {})
        self._hosts_by_data_centre: dict[str, list[str]] = {}

    def set_members(self, now: float, members: dict[str, PeerAddress]) -> None:
        """Replaces the known hosts; heartbeat intervals grow with their number."""
        self.members = members
        self.version += 1
        self._known_at = {host: self._known_at.get(host, now) for host in members}
        self._hosts_by_data_centre = {}
        for host, address in members.items():
            hosts = self._hosts_by_data_centre.setdefault(address.data_centre, [])
            hosts.append(host)
        near = self.count_near_hosts()
        far = len(members) - near
        self.uses_forwarders = len(members) + 1 > MAX_DIRECT_HOSTS
        if self.uses_forwarders:
            digest_interval_s = near / MAX_DIGESTS_PER_S
            self.near_interval_s = max(
                self.cfg.fleet.beat_interval_s, digest_interval_s
            )
            self.far_interval_s = FAR_HOPS * self.near_interval_s
            return
        self.near_interval_s = max(
            self.cfg.fleet.beat_interval_s, near / MAX_NEAR_HEARTBEATS_PER_S
        )
        self.far_interval_s = max(self.near_interval_s, far / MAX_FAR_HEARTBEATS_PER_S)

    def receive(self, now: float, heartbeat: Heartbeat) -> bool:
        """Records a heartbeat; returns whether its host was out of contact before."""
        before = self.latest.get(heartbeat.host)
        if self.is_new_incarnation(heartbeat):
            self._started[heartbeat.host] = now - heartbeat.age_s
        regained = heartbeat.host in self.silent and before is not None
        if regained:
            self.silent.discard(heartbeat.host)
        regained = regained or heartbeat.host in self._returned
        self._returned.discard(heartbeat.host)
        if regained or before is None or use_of(before.heartbeat) != use_of(heartbeat):
            self.version += 1
        at = now if before is None else max(now, before.received_at)
        self.latest[heartbeat.host] = ReceivedHeartbeat(heartbeat, at)
        self._newest_age_s[heartbeat.host] = heartbeat.age_s
        return regained

    def is_repeated(self, heartbeat: Heartbeat) -> bool:
        """Whether a heartbeat states nothing that its host has not stated before.

        Forwarders send the heartbeats of all hosts again and again. One of a host that
        was out of contact is not repeated: it shows what the host has done meanwhile.
        """
        host = heartbeat.host
        received = self.latest.get(host)
        if received is None or host in self.silent or host in self._returned:
            return False
        known = received.heartbeat
        return (known.has_all_teams or not heartbeat.has_all_teams) and state_of(
            known
        ) == state_of(heartbeat)

    def renew(self, now: float, heartbeat: Heartbeat) -> None:
        """Records a repeated heartbeat that came from its sender."""
        host = heartbeat.host
        if heartbeat.age_s < self._newest_age_s[host]:
            return
        self._newest_age_s[host] = heartbeat.age_s
        if self.latest[host].heartbeat.has_all_teams != heartbeat.has_all_teams:
            # The counts are the same as when they were those of all teams.
            heartbeat = heartbeat._replace(has_all_teams=True)
        self.latest[host] = ReceivedHeartbeat(heartbeat, now)

    def renew_forwarded(self, heartbeat: Heartbeat) -> None:
        """Records a repeated heartbeat from a digest, which has ages of its own."""
        newest_s = self._newest_age_s[heartbeat.host]
        self._newest_age_s[heartbeat.host] = max(newest_s, heartbeat.age_s)

    def is_new_incarnation(self, heartbeat: Heartbeat) -> bool:
        """Whether a heartbeat is the first from its sender's current incarnation."""
        before = self.latest.get(heartbeat.host)
        return before is None or before.heartbeat.boot != heartbeat.boot

    def is_older(self, sent_at: float, heartbeat: Heartbeat) -> bool:
        """Whether a heartbeat sent at ``sent_at`` is older than the newest of its host.

        Heartbeats that take different forwarders may arrive out of order.
        """
        before = self.latest.get(heartbeat.host)
        if before is None:
            return False
        if before.heartbeat.boot == heartbeat.boot:
            return heartbeat.age_s < self._newest_age_s[heartbeat.host]
        return (
            sent_at - heartbeat.age_s
            < self._started[heartbeat.host] - MIN_RESTART_GAP_S
        )

    def with_known_in_flight(self, heartbeat: Heartbeat) -> Heartbeat:
        """Returns a forwarded heartbeat with its host's last known in-flight requests.

        Forwarders leave these counts out of the heartbeats in a digest.
        """
        before = self.latest.get(heartbeat.host)
        if before is None or before.heartbeat.boot != heartbeat.boot:
            return heartbeat
        return heartbeat._replace(in_flight=before.heartbeat.in_flight)

    def receive_ages(self, now: float, ages_ms: Mapping[str, int]) -> list[str]:
        """Records the ages that a forwarder reports; returns the hosts regained."""
        regained = []
        # A report that is older than this does not show that the host is alive: the
        # other forwarder may just have received its last heartbeat a little later.
        limit_s = min(self.near_silent_s, self._digests_silent_s)
        for host, age_ms in ages_ms.items():
            received, at = self.latest.get(host), now - age_ms / 1000
            if received is None or received.received_at >= at:
                continue
            self.latest[host] = ReceivedHeartbeat(received.heartbeat, at)
            if host in self.silent and now - at < limit_s:
                # ``receive`` reports it as regained with its next heartbeat, which
                # has the requests that it admitted meanwhile.
                self.silent.discard(host)
                self._returned.add(host)
                self.version += 1
                regained.append(host)
        return regained

    def ages_ms(self, now: float) -> dict[str, int]:
        """Returns the milliseconds since the last sign of life of hosts in contact."""
        return {
            host: int((now - received.received_at) * 1000)
            for host, received in self.latest.items()
            if host not in self.silent
        }

    def candidates(self, now: float) -> dict[str, list[str]]:
        """Returns the other hosts that may forward or count, by data centre.

        These are hosts in contact and hosts that were listed too recently for their
        first heartbeat to have arrived.
        """
        data_centres: dict[str, list[str]] = {}
        for host, address in self.members.items():
            fresh = now - self._known_at[host] < FIRST_HEARTBEAT_WAIT_S
            if host in self.latest:
                able = (
                    host not in self.silent and not self.latest[host].heartbeat.draining
                )
            else:
                able = fresh
            if able:
                data_centres.setdefault(address.data_centre, []).append(host)
        return data_centres

    def forget(self, host: str) -> None:
        """Removes the state of a host that no longer exists."""
        self.latest.pop(host, None)
        self._started.pop(host, None)
        self._newest_age_s.pop(host, None)
        self._returned.discard(host)
        self.version += 1

    def is_recent(self, now: float, host: str) -> bool:
        """Whether a peer's last sign of life is within the silence limit."""
        received = self.latest.get(host)
        return received is not None and now - received.received_at < self.far_silent_s

    def newest_targets_revision(self, now: float) -> int | None:
        """Returns the newest revision of targets that peers have just stated.

        It is ``None`` if none has stated any within the silence limit.
        """
        revisions = [
            received.heartbeat.targets_revision
            for received in self.latest.values()
            if now - received.received_at < self.near_silent_s
        ]
        return max(revisions, default=None)

    def heard_at(self) -> list[float]:
        """Returns when the last heartbeat of each peer in contact came, in seconds."""
        return [
            received.received_at
            for host, received in self.latest.items()
            if host not in self.silent
        ]

    def is_superseded(self, now: float, host: str, boot: str) -> bool:
        """Whether a later incarnation of a host than ``boot`` is running.

        A heartbeat of another incarnation that is not recent may be of an earlier one.
        """
        received = self.latest.get(host)
        if received is None or received.heartbeat.boot == boot:
            return False
        return now - received.received_at < INCARNATION_FRESH_S

    def is_lost(self, now: float, host: str) -> bool:
        """Whether a host has been out of contact for too long to wait for it.

        A host is not lost while its whole data centre is silent: that shows a network
        partition, after which the host is back with what it knows. A host that is not
        on the store's list has lost its lease, which takes longer than a program.
        """
        address = self.members.get(host)
        if address is None:
            return now - self._began >= HOST_LOST_S
        if address.data_centre in self.silent_data_centres:
            return False
        return now - self._silent_since.get(host, now) >= HOST_LOST_S

    def count_near_hosts(self) -> int:
        """Returns the number of other hosts in this data centre."""
        return len(self._hosts_by_data_centre.get(self.cfg.data_centre, ()))

    def is_near(self, peer: Heartbeat | PeerAddress) -> bool:
        """Whether a peer is in this host's data centre."""
        return peer.data_centre == self.cfg.data_centre

    def in_contact(self) -> dict[str, Heartbeat]:
        """Returns a heartbeat of each peer that is in contact and not draining.

        It has what decides the use of its host, but not always the newest of the rest.
        """
        version, contacts = self._contacts
        if version != self.version:
            contacts = {
                heartbeat.host: heartbeat for heartbeat in self.newest_in_contact()
            }
            self._contacts = (self.version, contacts)
        return contacts

    def newest_in_contact(self) -> list[Heartbeat]:
        """Returns the newest heartbeat of each peer in contact that is not draining."""
        return [
            received.heartbeat
            for host, received in self.latest.items()
            if host not in self.silent and not received.heartbeat.draining
        ]

    def reaching_store(self) -> dict[str, Heartbeat]:
        """Returns the heartbeats of peers in contact that reach the store."""
        heartbeats = self.in_contact().items()
        return {
            host: heartbeat
            for host, heartbeat in heartbeats
            if not heartbeat.store_lost
        }

    @property
    def near_silent_s(self) -> float:
        """Silence after which a host of this data centre is out of contact."""
        return max(
            self.cfg.quota.silent_s, HOST_MISSED_HEARTBEATS * self.near_interval_s
        )

    @property
    def far_silent_s(self) -> float:
        """Silence after which a host of another data centre is out of contact."""
        missed = (
            FORWARDED_MISSED_HEARTBEATS
            if self.uses_forwarders
            else HOST_MISSED_HEARTBEATS
        )
        return max(self.cfg.quota.silent_s, missed * self.far_interval_s)

    def find_silent_data_centres(self, now: float) -> set[str]:
        """Returns the other data centres from which no heartbeat comes.

        Their hosts send heartbeats at random times, so the silence of all of them shows
        a network partition sooner than the silence of each. A false alarm with
        ``DATA_CENTRE_MISSED_HEARTBEATS`` missing occurs once in 100,000 checks.
        """
        return {
            data_centre
            for data_centre, hosts in self._hosts_by_data_centre.items()
            if data_centre != self.cfg.data_centre
            and not self._is_any_recent(
                hosts, now - self._data_centre_silent_s(len(hosts))
            )
        }

    def _is_any_recent(self, hosts: Iterable[str], since: float) -> bool:
        """Whether one of ``hosts`` has given a sign of life at ``since`` or later."""
        for host in hosts:
            received = self.latest.get(host)
            at = self._began if received is None else received.received_at
            if at >= since:
                return True
        return False

    @property
    def _digests_silent_s(self) -> float:
        """Time without digests about a data centre after which it counts as silent."""
        return max(
            MIN_DATA_CENTRE_SILENCE_S, DATA_CENTRE_MISSED_DIGESTS * self.near_interval_s
        )

    def _data_centre_silent_s(self, hosts: int) -> float:
        if self.uses_forwarders:
            return self._digests_silent_s
        silent_s = DATA_CENTRE_MISSED_HEARTBEATS * self.far_interval_s / hosts
        return min(self.far_silent_s, max(MIN_DATA_CENTRE_SILENCE_S, silent_s))

    def is_alone(self, now: float) -> bool:
        """Whether other data centres are known and all of them are silent."""
        known = self._hosts_by_data_centre.keys() - {self.cfg.data_centre}
        return bool(known) and self.find_silent_data_centres(now) == known

    def update_silent(self, now: float) -> "ContactChanges":
        """Recomputes which peers are out of contact; returns the changes."""
        data_centres = self.silent_data_centres = self.find_silent_data_centres(now)
        silent = set()
        for data_centre, hosts in self._hosts_by_data_centre.items():
            if data_centre in data_centres:
                silent.update(hosts)
                continue
            near = data_centre == self.cfg.data_centre
            since = now - (self.near_silent_s if near else self.far_silent_s)
            for host in hosts:
                received = self.latest.get(host)
                if received is None or received.received_at < since:
                    silent.add(host)
        changed = ContactChanges(silent - self.silent, self.silent - silent)
        if silent != self.silent:
            self.version += 1
        self.silent = silent
        # Counted from the check that found a host silent: after a pause of this host
        # its peers only seem to have been silent.
        self._silent_since = {
            host: self._silent_since.get(host, now) for host in silent
        }
        return changed

    def merge_members(
        self, now: float, listed: Mapping[str, PeerAddress]
    ) -> dict[str, PeerAddress]:
        """Returns the hosts on the store's list and those still in contact.

        The entries of the latter may have expired while the store was out of reach.
        """
        kept = {h: a for h, a in self.members.items() if self.is_recent(now, h)}
        return {**kept, **listed}


class ContactChanges(NamedTuple):
    """Peers that have become silent or are silent no longer.

    Attributes:
        lost: Peers that have become silent.
        regained: Peers that were silent and now are in contact or no longer exist.
    """

    lost: set[str]
    regained: set[str]
