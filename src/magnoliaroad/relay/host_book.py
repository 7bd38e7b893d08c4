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
# Beats a second that a host sends at most to its own data centre and to the others;
# larger fleets beat less often.
MOST_NEAR_BEATS_PER_S = 50.0
MOST_FAR_BEATS_PER_S = 35.0


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
        near_s: Time between beats to hosts of this data centre.
        far_s: Time between beats to others, on average.
    """

    def __init__(self, cfg: RelaySettings, began: float) -> None:
        self.cfg = cfg
        self.members: dict[str, PeerAddress] = {}
        self.heard: dict[str, Heard] = {}
        self.silent: set[str] = set()
        self.near_s = self.far_s = cfg.fleet.beat_interval_s
        self._began = began

    def set_members(self, members: dict[str, PeerAddress]) -> None:
        """Replaces the other hosts; times between beats grow with their number."""
        self.members = members
        near = sum(map(self.is_near, members.values()))
        far = len(members) - near
        self.near_s = max(self.cfg.fleet.beat_interval_s, near / MOST_NEAR_BEATS_PER_S)
        self.far_s = max(self.near_s, far / MOST_FAR_BEATS_PER_S)

    def hear(self, now: float, beat: Beat) -> bool:
        """Takes a beat; returns whether its host was out of contact before."""
        regained = beat.host in self.silent and beat.host in self.heard
        if regained:
            self.silent.discard(beat.host)
        self.heard[beat.host] = Heard(beat, now)
        return regained

    def forget(self, host: str) -> None:
        """Drops what was heard of a host that is gone."""
        self.heard.pop(host, None)

    def hears(self, host: str) -> bool:
        """Whether a peer was heard lately."""
        return host in self.heard and host not in self.silent

    def heard_within(self, now: float, host: str) -> bool:
        """Whether a peer's last beat is not older than silence may be."""
        heard = self.heard.get(host)
        return heard is not None and now - heard.at < self.far_silent_s

    def is_near(self, peer: Beat | PeerAddress) -> bool:
        """Whether a peer stands in this host's data centre."""
        return peer.data_centre == self.cfg.data_centre

    def in_contact(self) -> dict[str, Beat]:
        """Returns the newest beats of peers that were heard lately and do not stop."""
        return {
            host: heard.beat
            for host, heard in self.heard.items()
            if host not in self.silent and not heard.beat.draining
        }

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
        return max(self.cfg.quota.silent_s, HOST_SILENT_BEATS * self.far_s)

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

    def _place_silent_s(self, hosts: int) -> float:
        beats_s = SILENT_BEATS * self.far_s / hosts
        return min(self.far_silent_s, max(ALONE_S, beats_s))

    def alone(self, now: float) -> bool:
        """Whether no other data centre is heard, though others are known."""
        known = {address.data_centre for address in self.members.values()}
        known.discard(self.cfg.data_centre)
        return bool(known) and self.silent_places(now) == known

    def count_silent(self, now: float) -> "Contacts":
        """Finds anew who is out of contact; returns what has changed."""
        places = self.silent_places(now)
        silent = {
            host
            for host, address in self.members.items()
            if address.data_centre in places or self._is_late(now, host, address)
        }
        changed = Contacts(silent - self.silent, self.silent - silent)
        self.silent = silent
        return changed

    def _is_late(self, now: float, host: str, address: PeerAddress) -> bool:
        near = self.is_near(address)
        limit_s = self.near_silent_s if near else self.far_silent_s
        heard = self.heard.get(host)
        return heard is None or now - heard.at > limit_s

    def merged(
        self, now: float, listed: Mapping[str, PeerAddress]
    ) -> dict[str, PeerAddress]:
        """Returns the hosts on the store's list, and those that are heard.

        Entries of the latter may have lapsed with the store.
        """
        kept = {h: a for h, a in self.members.items() if self.heard_within(now, h)}
        return {**kept, **listed}


class Contacts(NamedTuple):
    """Peers with which contact has changed.

    Attributes:
        lost: Those that have fallen silent.
        regained: Those that were silent, and are not or no longer exist.
    """

    lost: set[str]
    regained: set[str]
