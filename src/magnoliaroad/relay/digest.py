"""Digests, in which a forwarder sends on the heartbeats of other hosts."""

from collections.abc import Collection, Iterable, Sequence
from typing import NamedTuple

from magnoliaroad.records.messages import RecordHostHeartbeat
from magnoliaroad.relay.fleet_messages import Heartbeat
from magnoliaroad.relay.heartbeat_state import state_of

# One in this many digests has the heartbeats of all hosts; the others have only those
# that changed.
FULL_EVERY = 8


class Digest(NamedTuple):
    """Heartbeats that a forwarder sends on.

    Attributes:
        data_centre: Data centre of the sender.
        inter_data_centre: Whether it is sent to forwarders of other data centres; it
            then covers only the hosts of the sender's data centre.
        heartbeats: Heartbeats that have changed, without their in-flight requests.
        ages: Time since the last sign of life of each host, in milliseconds.
        in_flight: In-flight requests by target, summed over the hosts it covers.
        record_hosts: Record hosts in contact with the sender, each with the time since
            its last message in milliseconds.
    """

    data_centre: str
    inter_data_centre: bool
    heartbeats: list[Heartbeat]
    ages: dict[str, int]
    in_flight: dict[str, int]
    record_hosts: list[tuple[RecordHostHeartbeat, int]]


class HeartbeatFilter:
    """Selects the heartbeats that have changed since they were last sent on."""

    def __init__(self) -> None:
        # State and whether it came with the counts of all teams, by host.
        self._sent: dict[str, tuple[object, bool]] = {}
        self._digest_count = 0

    def reset(self) -> None:
        """Makes the next selection have all heartbeats; a receiver may have none."""
        self._sent.clear()

    def select(
        self,
        heartbeats: Sequence[Heartbeat],
        hosts: Collection[str],
        started: Collection[str],
    ) -> list[tuple[list[str], list[Heartbeat]]]:
        """Returns which heartbeats to send on to which hosts.

        Hosts that have started get all of them, the others those that changed, and all
        every ``FULL_EVERY`` calls.

        Args:
            heartbeats: All heartbeats.
            hosts: Hosts that receive heartbeats.
            started: Hosts that have just started.
        """
        changed = list(map(_without_in_flight, self._take_changed(heartbeats)))
        new = [host for host in hosts if host in started]
        others = [host for host in hosts if host not in started]
        selected = [(others, changed)] if others else []
        if new:
            selected.append((new, list(map(_without_in_flight, heartbeats))))
        return selected

    def _take_changed(self, heartbeats: Iterable[Heartbeat]) -> list[Heartbeat]:
        if self._digest_count % FULL_EVERY == 0:
            self._sent.clear()
        self._digest_count += 1
        changed = []
        for heartbeat in heartbeats:
            content = state_of(heartbeat), heartbeat.has_all_teams
            if self._sent.get(heartbeat.host) != content:
                self._sent[heartbeat.host] = content
                changed.append(heartbeat)
        return changed


def _without_in_flight(heartbeat: Heartbeat) -> Heartbeat:
    return heartbeat._replace(in_flight={})


def sum_counts(counts: Iterable[dict[str, int]]) -> dict[str, int]:
    """Returns the sums of ``counts`` by key."""
    sums: dict[str, int] = {}
    for part in counts:
        for name, count in part.items():
            sums[name] = sums.get(name, 0) + count
    return sums
