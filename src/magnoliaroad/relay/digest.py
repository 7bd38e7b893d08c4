"""Digests, in which a forwarder sends on the heartbeats of other hosts."""

import math
from collections.abc import Collection, Iterable, Iterator
from typing import NamedTuple

from magnoliaroad.records.messages import RecordHostHeartbeat
from magnoliaroad.relay.fleet_messages import Heartbeat
from magnoliaroad.relay.heartbeat_state import changed_field, own_state_of
from magnoliaroad.relay.metrics import DIGEST_HEARTBEATS

# Digests in which each heartbeat is sent on at least once, changed or not.
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
    """Selects the heartbeats that receivers of a digest need.

    These are the ones that changed since they were last sent on, and some of the others
    in turn. A new version of the configuration or of the targets soon changes the
    heartbeats of all hosts; only the first ones that state it are selected for it.
    """

    def __init__(self) -> None:
        # By host; the one that was sent on the longest ago comes first.
        self._sent: dict[str, _Sent] = {}
        self._newest = NO_VERSIONS
        self._digest_count = 0

    def reset(self) -> None:
        """Makes the next selection have all heartbeats; a receiver may have none."""
        self._sent.clear()
        self._newest = NO_VERSIONS

    def divide(
        self, digest: Digest, hosts: Collection[str], started: Collection[str]
    ) -> Iterator[tuple[list[str], Digest]]:
        """Yields the digests to send, each with the hosts that get it.

        Hosts that have started get all heartbeats. The others get those that changed,
        and of the rest some that were sent the longest ago, so that links are never
        filled by all of them at once.

        Args:
            digest: The digest with all heartbeats.
            hosts: Hosts that receive one.
            started: Hosts that have just started.
        """
        due = self._take_due(digest.heartbeats)
        new = [host for host in hosts if host in started]
        others = [host for host in hosts if host not in started]
        for group, heartbeats in ((others, due), (new, digest.heartbeats)):
            if group:
                sent = [heartbeat._replace(in_flight={}) for heartbeat in heartbeats]
                yield group, digest._replace(heartbeats=sent)

    def _take_due(self, heartbeats: Iterable[Heartbeat]) -> list[Heartbeat]:
        if self._digest_count % FULL_EVERY == 0:
            # A receiver may have missed them, and a restored store has older ones.
            self._newest = NO_VERSIONS
        self._digest_count += 1
        current = {heartbeat.host: heartbeat for heartbeat in heartbeats}
        self._sent = {h: sent for h, sent in self._sent.items() if h in current}
        due = {}
        for host, heartbeat in current.items():
            if reason := self._reason_to_send(heartbeat):
                due[host] = reason
                self._newest = self._newest.merge(heartbeat)
        unchanged = [host for host in self._sent if host not in due]
        part = math.ceil(len(current) / FULL_EVERY)
        due |= dict.fromkeys(unchanged[:part], "refresh")
        for host, reason in due.items():
            DIGEST_HEARTBEATS.inc({"changed": reason})
            # Moves it to the end.
            before = self._sent.pop(host, None)
            self._sent[host] = _merge_sent(before, current[host])
        return [current[host] for host in due]

    def _reason_to_send(self, heartbeat: Heartbeat) -> str:
        """Returns what makes receivers need a heartbeat; empty if nothing does."""
        sent = self._sent.get(heartbeat.host)
        if sent is None:
            return "refresh"
        state = own_state_of(heartbeat)
        if sent.state != state:
            return changed_field(sent.state, state)
        # Counts that have not changed since they were those of all teams still are.
        if heartbeat.has_all_teams and not sent.has_all_teams:
            return "has_all_teams"
        return self._newest.newer_field(heartbeat)


class _Sent(NamedTuple):
    """What receivers have of the heartbeat of a host.

    Attributes:
        state: What its host stated of itself.
        has_all_teams: Whether that state was sent on with the counts of all teams.
    """

    state: tuple[object, ...]
    has_all_teams: bool


def _merge_sent(before: _Sent | None, heartbeat: Heartbeat) -> _Sent:
    """Returns what receivers have once they got a heartbeat."""
    state, has_all_teams = own_state_of(heartbeat), heartbeat.has_all_teams
    if before is not None and before.state == state:
        has_all_teams = has_all_teams or before.has_all_teams
    return _Sent(state, has_all_teams)


class _Versions(NamedTuple):
    """Newest versions that were sent on.

    Attributes:
        plan: Version of the configuration.
        targets: Store revision of the targets.
    """

    plan: float
    targets: float

    def newer_field(self, heartbeat: Heartbeat) -> str:
        """Returns the field in which a heartbeat is newer; empty if it is in none."""
        if heartbeat.plan_version > self.plan:
            return "plan_version"
        return "targets_revision" if heartbeat.targets_revision > self.targets else ""

    def merge(self, heartbeat: Heartbeat) -> "_Versions":
        """Returns the newer ones of these versions and a heartbeat's."""
        return _Versions(
            max(self.plan, heartbeat.plan_version),
            max(self.targets, heartbeat.targets_revision),
        )


NO_VERSIONS = _Versions(-math.inf, -math.inf)


def sum_counts(counts: Iterable[dict[str, int]]) -> dict[str, int]:
    """Returns the sums of ``counts`` by key."""
    sums: dict[str, int] = {}
    for part in counts:
        for name, count in part.items():
            sums[name] = sums.get(name, 0) + count
    return sums
