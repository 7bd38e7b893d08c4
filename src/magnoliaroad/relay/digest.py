"""Digests, in which a forwarder sends on the heartbeats of other hosts."""

from collections.abc import Collection, Iterable, Iterator
from typing import NamedTuple

from magnoliaroad.records.messages import RecordHostHeartbeat
from magnoliaroad.relay.fleet_messages import Heartbeat
from magnoliaroad.relay.heartbeat_state import changed_field, state_of
from magnoliaroad.relay.metrics import DIGEST_HEARTBEATS

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
        self._sent: dict[str, tuple[tuple[object, ...], bool]] = {}
        self._digest_count = 0

    def reset(self) -> None:
        """Makes the next selection have all heartbeats; a receiver may have none."""
        self._sent.clear()

    def divide(
        self, digest: Digest, hosts: Collection[str], started: Collection[str]
    ) -> Iterator[tuple[list[str], Digest]]:
        """Yields the digests to send, each with the hosts that get it.

        Hosts that have started get all heartbeats, the others those that changed, and
        all every ``FULL_EVERY`` calls.

        Args:
            digest: The digest with all heartbeats.
            hosts: Hosts that receive one.
            started: Hosts that have just started.
        """
        changed = self._take_changed(digest.heartbeats)
        new = [host for host in hosts if host in started]
        others = [host for host in hosts if host not in started]
        for group, heartbeats in ((others, changed), (new, digest.heartbeats)):
            if group:
                sent = [heartbeat._replace(in_flight={}) for heartbeat in heartbeats]
                yield group, digest._replace(heartbeats=sent)

    def _take_changed(self, heartbeats: Iterable[Heartbeat]) -> list[Heartbeat]:
        if self._digest_count % FULL_EVERY == 0:
            self._sent.clear()
        self._digest_count += 1
        changed = []
        for heartbeat in heartbeats:
            content = state_of(heartbeat), heartbeat.has_all_teams
            sent = self._sent.get(heartbeat.host)
            if sent != content:
                self._sent[heartbeat.host] = content
                changed.append(heartbeat)
                reason = (
                    "refresh" if sent is None else changed_field(sent[0], content[0])
                )
                DIGEST_HEARTBEATS.inc({"changed": reason})
        return changed


def sum_counts(counts: Iterable[dict[str, int]]) -> dict[str, int]:
    """Returns the sums of ``counts`` by key."""
    sums: dict[str, int] = {}
    for part in counts:
        for name, count in part.items():
            sums[name] = sums.get(name, 0) + count
    return sums
