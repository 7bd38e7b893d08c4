"""Which hosts there are and what was last heard of each."""

from collections.abc import Mapping
from typing import NamedTuple

from magnoliaroad.peers import PeerAddress
from magnoliaroad.relay.beat import Beat
from magnoliaroad.relay.settings import RelaySettings

# Silence of a whole data centre after which it counts as out of contact; five times a
# small fleet's beat.
ALONE_S = 0.5
# Beats of a whole data centre that are missing before it counts so.
SILENT_BEATS = 12
# Beats of one host that are missing before it counts as out of contact.
HOST_SILENT_BEATS = 4
# The same where forwarders are between; an interval has several hops then.
FORWARDED_SILENT_BEATS = 1.5
# Largest fleet in which every host tells all others.
DIRECT_HOSTS = 24
# Beats a second that a host of such a fleet sends at most to its own data centre and
# to the others; larger ones beat less often.
MOST_NEAR_BEATS_PER_S = 50.0
MOST_FAR_BEATS_PER_S = 35.0
# Digests a second that a forwarder sends at most to its own data centre.
MOST_DIGESTS_PER_S = 100.0
# Intervals that what a host of another data centre says may take to arrive: its beat,
# and a digest on each side.
FAR_HOPS = 3
# Digests that are missing before a data centre counts as silent.
SILENT_DIGESTS = 3.5
# Time for which a host on the list that was never heard may be a forwarder, in
# seconds; as long as a host takes from its entry to its first beat.
UNHEARD_S = 2.0
# Two incarnations of a host start further apart than this, in seconds; the time that
# a beat takes on its way is less.
STARTS_APART_S = 0.5


class Heard(NamedTuple):
    """The newest beat of a peer and when it came."""

    beat: Beat
    at: float


class HostBook:
    """Tells which peers are in contact, from their beats.

    Args:
        cfg: Settings of the host.
        began: Time from which on silence counts, in seconds.

    Attributes:
        members: Addresses of the other relay hosts, by name.
        heard: What was last heard of each.
        silent: Those that were out of contact when ``count_silent`` was last called.
        places_silent: Data centres of which no host was heard then.
        near_s: Time between beats to hosts of this data centre.
        far_s: Time between beats to others, on average.
        forwarded: Whether beats reach most hosts through forwarders.
        version: Rises with each change of who is in contact and fit for what.
    """

    def __init__(self, cfg: RelaySettings, began: float) -> None:
        self.cfg = cfg
        self.members: dict[str, PeerAddress] = {}
        self.heard: dict[str, Heard] = {}
        self.silent: set[str] = set()
        self.places_silent: set[str] = set()
        self.near_s = self.far_s = cfg.fleet.beat_interval_s
        self.forwarded = False
        self.version = 0
        self._began = began
        self._known_at: dict[str, float] = {}
        self._started: dict[str, float] = {}
        self._returned: set[str] = set()
        self._contacts: tuple[int, dict[str, Beat]] = (-1, {})

    def set_members(self, now: float, members: dict[str, PeerAddress]) -> None:
        """Replaces the other hosts; times between beats grow with their number."""
        self.members = members
        self.version += 1
        self._known_at = {host: self._known_at.get(host, now) for host in members}
        near = sum(map(self.is_near, members.values()))
        far = len(members) - near
        self.forwarded = len(members) + 1 > DIRECT_HOSTS
        if self.forwarded:
            most_s = near / MOST_DIGESTS_PER_S
            self.near_s = max(self.cfg.fleet.beat_interval_s, most_s)
            self.far_s = FAR_HOPS * self.near_s
            return
        self.near_s = max(self.cfg.fleet.beat_interval_s, near / MOST_NEAR_BEATS_PER_S)
        self.far_s = max(self.near_s, far / MOST_FAR_BEATS_PER_S)

    def hear(self, now: float, beat: Beat) -> bool:
        """Takes a beat; returns whether its host was out of contact before."""
        before = self.heard.get(beat.host)
        if self.meets(beat):
            self._started[beat.host] = now - beat.age_s
        regained = beat.host in self.silent and before is not None
        if regained:
            self.silent.discard(beat.host)
        regained = regained or beat.host in self._returned
        self._returned.discard(beat.host)
        if regained or before is None or _fitness(before.beat) != _fitness(beat):
            self.version += 1
        at = now if before is None else max(now, before.at)
        self.heard[beat.host] = Heard(beat, at)
        return regained

    def meets(self, beat: Beat) -> bool:
        """Whether a beat is the first of its incarnation."""
        before = self.heard.get(beat.host)
        return before is None or before.beat.boot != beat.boot

    def is_older(self, at: float, beat: Beat) -> bool:
        """Whether a beat, sent at ``at``, is older than the newest of its host.

        Beats that come by way of different forwarders may overtake each other.
        """
        before = self.heard.get(beat.host)
        if before is None:
            return False
        if before.beat.boot == beat.boot:
            return beat.age_s < before.beat.age_s
        return at - beat.age_s < self._started[beat.host] - STARTS_APART_S

    def with_work(self, beat: Beat) -> Beat:
        """Returns a beat that was passed on with the work that its host last told."""
        before = self.heard.get(beat.host)
        if before is None or before.beat.boot != beat.boot:
            return beat
        return beat._replace(in_hand=before.beat.in_hand)

    def hear_ages(self, now: float, ages_ms: Mapping[str, int]) -> list[str]:
        """Takes when a forwarder last heard hosts; returns those regained."""
        regained = []
        # What only another forwarder heard a little later is no sign of life.
        limit_s = min(self.near_silent_s, self._digests_silent_s)
        for host, age_ms in ages_ms.items():
            heard, at = self.heard.get(host), now - age_ms / 1000
            if heard is None or heard.at >= at:
                continue
            self.heard[host] = Heard(heard.beat, at)
            if host in self.silent and now - at < limit_s:
                # Its next beat tells what it did meanwhile.
                self.silent.discard(host)
                self._returned.add(host)
                self.version += 1
                regained.append(host)
        return regained

    def ages_ms(self, now: float) -> dict[str, int]:
        """Returns the time since each host was heard that is in contact."""
        return {
            host: int((now - heard.at) * 1000)
            for host, heard in self.heard.items()
            if host not in self.silent
        }

    def candidates(self, now: float) -> dict[str, list[str]]:
        """Returns the other hosts that may forward or count, by data centre.

        They are in contact, or on the list for too short a time to be heard.
        """
        places: dict[str, list[str]] = {}
        for host, address in self.members.items():
            fresh = now - self._known_at[host] < UNHEARD_S
            if host in self.heard:
                able = host not in self.silent and not self.heard[host].beat.draining
            else:
                able = fresh
            if able:
                places.setdefault(address.data_centre, []).append(host)
        return places

    def forget(self, host: str) -> None:
        """Drops what was heard of a host that is gone."""
        self.heard.pop(host, None)
        self._started.pop(host, None)
        self._returned.discard(host)
        self.version += 1

    def heard_within(self, now: float, host: str) -> bool:
        """Whether a peer's last beat is not older than silence may be."""
        heard = self.heard.get(host)
        return heard is not None and now - heard.at < self.far_silent_s

    def is_near(self, peer: Beat | PeerAddress) -> bool:
        """Whether a peer stands in this host's data centre."""
        return peer.data_centre == self.cfg.data_centre

    def in_contact(self) -> dict[str, Beat]:
        """Returns peers that were heard lately and do not stop, with a beat of each.

        The beat has the newest state of its host, but not the newest counts.
        """
        version, contacts = self._contacts
        if version != self.version:
            contacts = {
                host: heard.beat
                for host, heard in self.heard.items()
                if host not in self.silent and not heard.beat.draining
            }
            self._contacts = (self.version, contacts)
        return contacts

    def reaching_store(self) -> dict[str, Beat]:
        """Returns the newest beats of peers in contact that reach the store."""
        beats = self.in_contact().items()
        return {host: beat for host, beat in beats if not beat.store_lost}

    @property
    def near_silent_s(self) -> float:
        """Silence after which a host of this data centre is out of contact."""
        return max(self.cfg.quota.silent_s, HOST_SILENT_BEATS * self.near_s)

    @property
    def far_silent_s(self) -> float:
        """Silence after which a host of another data centre is out of contact."""
        beats = FORWARDED_SILENT_BEATS if self.forwarded else HOST_SILENT_BEATS
        return max(self.cfg.quota.silent_s, beats * self.far_s)

    def silent_places(self, now: float) -> set[str]:
        """Returns the other data centres of which no host is heard.

        Their hosts beat at random times, so silence of all shows a cut sooner than
        that of each: with ``SILENT_BEATS`` missing it is chance once in 100,000 looks.
        """
        last: dict[str, list[float]] = {}
        for host, address in self.members.items():
            heard = self.heard.get(host)
            at = self._began if heard is None else heard.at
            last.setdefault(address.data_centre, []).append(at)
        last.pop(self.cfg.data_centre, None)
        return {
            place
            for place, times in last.items()
            if now - max(times) > self._place_silent_s(len(times))
        }

    @property
    def _digests_silent_s(self) -> float:
        """Time without digests about a data centre after which it is silent."""
        return max(ALONE_S, SILENT_DIGESTS * self.near_s)

    def _place_silent_s(self, hosts: int) -> float:
        if self.forwarded:
            return self._digests_silent_s
        beats_s = SILENT_BEATS * self.far_s / hosts
        return min(self.far_silent_s, max(ALONE_S, beats_s))

    def alone(self, now: float) -> bool:
        """Whether no other data centre is heard, though others are known."""
        known = {address.data_centre for address in self.members.values()}
        known.discard(self.cfg.data_centre)
        return bool(known) and self.silent_places(now) == known

    def count_silent(self, now: float) -> "Contacts":
        """Finds anew who is out of contact; returns what has changed."""
        places = self.places_silent = self.silent_places(now)
        limits = {True: self.near_silent_s, False: self.far_silent_s}
        silent = set()
        for host, address in self.members.items():
            heard = self.heard.get(host)
            late_s = limits[self.is_near(address)]
            if (
                heard is None
                or now - heard.at > late_s
                or address.data_centre in places
            ):
                silent.add(host)
        changed = Contacts(silent - self.silent, self.silent - silent)
        if silent != self.silent:
            self.version += 1
        self.silent = silent
        return changed

    def merged(
        self, now: float, listed: Mapping[str, PeerAddress]
    ) -> dict[str, PeerAddress]:
        """Returns the hosts on the store's list, and those that are heard.

        Entries of the latter may have lapsed with the store.
        """
        kept = {h: a for h, a in self.members.items() if self.heard_within(now, h)}
        return {**kept, **listed}


def _fitness(beat: Beat) -> Beat:
    """Returns the fields that decide what a host in contact is used for."""
    return beat._replace(
        age_s=0.0, admitted={}, in_hand={}, rests={}, leaving=[], quarantined=0
    )


class Contacts(NamedTuple):
    """Peers with which contact has changed.

    Attributes:
        lost: Those that have fallen silent.
        regained: Those that were silent, and are not or no longer exist.
    """

    lost: set[str]
    regained: set[str]
