"""What one host of a data centre tells about all hosts that it hears."""

from collections.abc import Iterable
from typing import NamedTuple

from magnoliaroad.records.messages import RecordHostHere
from magnoliaroad.relay.beat import Beat

# Each so many digests have the beats of all hosts; the others those that changed.
WHOLE_EVERY = 8


class Digest(NamedTuple):
    """Beats that a forwarder passes on.

    Attributes:
        data_centre: Where the sender stands.
        onward: Whether it goes to forwarders of other data centres; then it is about
            the hosts of the sender's data centre only.
        beats: Beats that have changed, without what their hosts have in hand.
        ages: Time since each host was heard, in milliseconds.
        in_hand: Requests in progress by target, of all hosts that it is about.
        record_hosts: Record hosts that the sender hears, and the time since, in
            milliseconds.
    """

    data_centre: str
    onward: bool
    beats: list[Beat]
    ages: dict[str, int]
    in_hand: dict[str, int]
    record_hosts: list[tuple[RecordHostHere, int]]


class BeatFilter:
    """Picks the beats that have changed since they were last passed on."""

    def __init__(self) -> None:
        self._passed: dict[str, Beat] = {}
        self._digests = 0

    def reset(self) -> None:
        """Makes the next pick have all beats; a receiver may know none."""
        self._passed.clear()

    def pick(self, beats: Iterable[Beat]) -> list[Beat]:
        """Returns the beats to pass on; all of them now and then."""
        if self._digests % WHOLE_EVERY == 0:
            self._passed.clear()
        self._digests += 1
        picked = []
        for beat in beats:
            row = beat._replace(in_hand={})
            content = row._replace(age_s=0.0)
            if self._passed.get(beat.host) != content:
                self._passed[beat.host] = content
                picked.append(row)
        return picked


def add_up(counts: Iterable[dict[str, int]]) -> dict[str, int]:
    """Returns the sums of ``counts`` by key."""
    sums: dict[str, int] = {}
    for part in counts:
        for name, count in part.items():
            sums[name] = sums.get(name, 0) + count
    return sums
