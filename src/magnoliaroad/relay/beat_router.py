"""Whom a host tells what it knows, and what it passes on."""

from collections.abc import Collection
from typing import NamedTuple

from magnoliaroad.records.messages import RecordHostHere
from magnoliaroad.relay.beat import Beat
from magnoliaroad.relay.digest import BeatFilter, Digest, add_up
from magnoliaroad.relay.host_book import HostBook
from magnoliaroad.relay.settings import RelaySettings
from magnoliaroad.rendezvous import rendezvous

# Hosts of each data centre that pass beats on; one of them may be lost.
FORWARDERS = 2
# Ranks among which a forwarder is looked for in a data centre of which none is heard;
# its forwarders are the first of those that live.
PROBED_RANKS = 8
# Time for which forwarders stay chosen while nothing changes, in seconds; a host that
# is on the list and was never heard is one no longer after that.
CHOSEN_S = 1.0


class Recipients(NamedTuple):
    """Hosts that are told something next.

    Attributes:
        beat: They get this host's beat.
        near: They get a digest of all hosts; none if this host does not forward.
        far: They get a digest of this data centre's hosts.
    """

    beat: list[str]
    near: list[str]
    far: list[str]


class BeatRouter:
    """Decides who is told of whom.

    In a small fleet every host tells all others. In a large one a host tells the
    forwarders of its data centre, which pass on what they hear to all hosts there
    and to the forwarders elsewhere. Hosts choose forwarders by hashing the names of
    those that they hear; where choices differ for a moment, some digests are sent
    twice and some too late, and nothing depends on either.

    Args:
        cfg: Settings of the host.
        book: The hosts and what was heard of them.

    Attributes:
        forwards: Whether this host is a forwarder of its data centre.
    """

    def __init__(self, cfg: RelaySettings, book: HostBook) -> None:
        self.cfg = cfg
        self.forwards = True
        self._book = book
        self._near = BeatFilter()
        self._far = BeatFilter()
        self._far_hosts: list[str] = []
        self._probe = 0
        self._chosen: dict[str, list[str]] = {}
        self._chosen_for = -1
        self._chosen_until = 0.0
        self._far_in_hand: dict[str, dict[str, int]] = {}

    def recipients(self, now: float, everybody: bool) -> Recipients:
        """Returns who is told next.

        Args:
            now: Time in seconds.
            everybody: Whether hosts of other data centres are due in a small fleet.
        """
        book = self._book
        if not book.forwarded:
            self.forwards = True
            hosts = book.members.items()
            told = [h for h, address in hosts if everybody or book.is_near(address)]
            return Recipients(told, [], [])
        name, place = self.cfg.name, self.cfg.data_centre
        if self._chosen_for != book.version or now >= self._chosen_until:
            self._choose(now)
        own = self._chosen[place]
        chosen = {p: hosts for p, hosts in self._chosen.items() if p != place}
        chosen |= self._probes(self._chosen.keys())
        self.forwards = name in own
        beat = [host for host in own if host != name]
        if not self.forwards:
            return Recipients(beat, [], [])
        far = [host for hosts in chosen.values() for host in hosts]
        if far != self._far_hosts:
            self._far_hosts = far
            self._far.reset()
        near = [h for h, address in book.members.items() if book.is_near(address)]
        return Recipients(beat, near, far)

    def _choose(self, now: float) -> None:
        """Chooses the forwarders of the data centres of which a host is heard."""
        places = self._book.candidates(now)
        places.setdefault(self.cfg.data_centre, []).append(self.cfg.name)
        self._chosen = {
            place: rendezvous(place, hosts)[:FORWARDERS]
            for place, hosts in places.items()
        }
        self._chosen_for = self._book.version
        self._chosen_until = now + CHOSEN_S

    def _probes(self, heard: Collection[str]) -> dict[str, list[str]]:
        """Returns hosts to try in the data centres of which none is heard.

        Two data centres that do not hear each other would otherwise both wait.
        """
        silent: dict[str, list[str]] = {}
        for host, address in self._book.members.items():
            if address.data_centre not in heard:
                silent.setdefault(address.data_centre, []).append(host)
        self._probe = (self._probe + FORWARDERS) % PROBED_RANKS
        rank = self._probe
        return {
            place: rendezvous(place, hosts)[rank : rank + FORWARDERS]
            for place, hosts in silent.items()
        }

    def met(self) -> None:
        """Makes the next digests tell all; a host that knows nothing has come."""
        self._near.reset()
        self._far.reset()

    def hear_far(self, digest: Digest) -> None:
        """Takes what the hosts of another data centre have in hand."""
        self._far_in_hand[digest.data_centre] = digest.in_hand

    def forget_place(self, data_centre: str) -> None:
        """Drops what the hosts of a data centre that has fallen silent had in hand."""
        self._far_in_hand.pop(data_centre, None)

    def near_digest(
        self, now: float, own: Beat, records: list[tuple[RecordHostHere, int]]
    ) -> Digest:
        """Returns what the hosts of this data centre are told."""
        ages = self._book.ages_ms(now)
        beats = [own, *(self._book.heard[host].beat for host in ages)]
        near = [beat.in_hand for beat in beats if self._book.is_near(beat)]
        return Digest(
            data_centre=self.cfg.data_centre,
            onward=False,
            beats=self._near.pick(beats),
            ages={own.host: 0, **ages},
            in_hand=add_up([*near, *self._far_in_hand.values()]),
            record_hosts=records,
        )

    def far_digest(self, now: float, own: Beat) -> Digest:
        """Returns what forwarders of other data centres are told."""
        book = self._book
        ages = {
            host: age_ms
            for host, age_ms in book.ages_ms(now).items()
            if book.is_near(book.heard[host].beat)
        }
        beats = [own, *(book.heard[host].beat for host in ages)]
        return Digest(
            data_centre=self.cfg.data_centre,
            onward=True,
            beats=self._far.pick(beats),
            ages={own.host: 0, **ages},
            in_hand=add_up(beat.in_hand for beat in beats),
            record_hosts=[],
        )
