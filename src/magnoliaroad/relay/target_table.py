"""The targets that a host knows, and what it thinks of them."""

import statistics
from collections.abc import Iterable
from typing import NamedTuple

from magnoliaroad.relay.leaving import LeavingTargets
from magnoliaroad.relay.target import RelayTarget, TargetState

# A target whose events take this many times as long as the usual one's is slow; a
# full batch makes a step about half as long again.
SLOW_FACTOR = 2.5
# Weight of a new gap between events in a target's pace.
PACE_WEIGHT = 0.2
# Time after which a pace says nothing any more, in seconds; then the target is tried.
PACE_LIFE_S = 2.0


class _Pace(NamedTuple):
    """Mean time between events of a target, and when the last came."""

    gap_s: float
    at: float


class TargetRest(NamedTuple):
    """A target that a host sends nothing to, because it failed there.

    Attributes:
        failures: Failures in a row.
        left_s: Time until the host tries it again.
    """

    failures: int
    left_s: float


class TargetTable:
    """Targets by name, with the work in hand and recent failures of each.

    Attributes:
        targets: The targets that the store lists, by name.
        in_hand: Requests of this host in progress, by target.
        leaving: Targets that have said that they leave.
    """

    def __init__(self) -> None:
        self.leaving = LeavingTargets()
        self.targets: dict[str, RelayTarget] = {}
        self.in_hand: dict[str, int] = {}
        self._remote: dict[str, dict[str, int]] = {}
        self._failures: dict[str, int] = {}
        self._rests_until: dict[str, float] = {}
        self._own_rests: dict[str, float] = {}
        self._paces: dict[str, _Pace] = {}

    def set(self, target: RelayTarget) -> None:
        """Adds or replaces a target."""
        self.targets[target.name] = target

    def drop(self, name: str) -> None:
        """Forgets a target."""
        for table in (
            self.targets,
            self._failures,
            self._rests_until,
            self._own_rests,
            self._paces,
        ):
            table.pop(name, None)

    def usable(self, service: str, now: float) -> list[RelayTarget]:
        """Returns the targets of ``service`` that take new work.

        Targets that failed lately or are slow are left out if others are there;
        those that leave always are.
        """
        ready = [
            target
            for target in self.targets.values()
            if target.service == service
            and target.state is TargetState.READY
            and target not in self.leaving
        ]
        sound = [t for t in ready if self._rests_until.get(t.name, 0.0) <= now]
        return self._fast(sound, now) or sound or ready

    def paced(self, name: str, gap_s: float, now: float) -> None:
        """Notes the time between two events of a target's stream."""
        before = self._paces.get(name)
        if before is None or now - before.at > PACE_LIFE_S:
            mean_s = gap_s
        else:
            mean_s = before.gap_s + PACE_WEIGHT * (gap_s - before.gap_s)
        self._paces[name] = _Pace(mean_s, now)

    def _fast(self, targets: list[RelayTarget], now: float) -> list[RelayTarget]:
        """Returns ``targets`` without those that are much slower than the median.

        Answers the load pattern of one engine that turns slow while its status and
        its queue look sound: whoever stays there misses its time limit.
        """
        paces = {
            target.name: pace.gap_s
            for target in targets
            if (pace := self._paces.get(target.name)) is not None
            and now - pace.at <= PACE_LIFE_S
        }
        if len(paces) < 2:
            return targets
        limit_s = SLOW_FACTOR * statistics.median_low(paces.values())
        return [t for t in targets if paces.get(t.name, 0.0) <= limit_s]

    def load(self, name: str) -> int:
        """Returns the requests in hand at a target, of all hosts."""
        remote = sum(counts.get(name, 0) for counts in self._remote.values())
        return self.in_hand.get(name, 0) + remote

    def begin(self, name: str) -> None:
        """Counts a request that is sent to a target."""
        self.in_hand[name] = self.in_hand.get(name, 0) + 1

    def end(self, name: str) -> None:
        """Counts the end of a request at a target."""
        left = self.in_hand.get(name, 0) - 1
        if left > 0:
            self.in_hand[name] = left
        else:
            self.in_hand.pop(name, None)

    def heard(self, host: str, in_hand: dict[str, int]) -> None:
        """Takes over what a peer has in hand at targets."""
        self._remote[host] = in_hand

    def heard_all(self, in_hand: dict[str, dict[str, int]]) -> None:
        """Replaces what all other hosts have in hand, by host or group of hosts."""
        self._remote = in_hand

    def forget_hosts(self, kept: Iterable[str]) -> None:
        """Drops what hosts other than ``kept`` had in hand."""
        kept = set(kept)
        self._remote = {h: c for h, c in self._remote.items() if h in kept}

    def failed(self, name: str, now: float, rest_s: float, most_s: float) -> float:
        """Notes a failure of a target; returns how long it gets no new work."""
        count = self._failures[name] = self._failures.get(name, 0) + 1
        pause_s = min(most_s, rest_s * 2 ** (count - 1))
        self._rests_until[name] = self._own_rests[name] = now + pause_s
        return pause_s

    def rests(self, now: float) -> dict[str, TargetRest]:
        """Returns the targets that rest because they failed at this host."""
        return {
            name: TargetRest(self._failures.get(name, 1), until - now)
            for name, until in self._own_rests.items()
            if until > now
        }

    def heard_rests(self, now: float, rests: dict[str, TargetRest]) -> None:
        """Spares this host's callers what a peer's callers met at targets.

        Answers the load pattern of a target that looks sound and fails each request:
        every host would otherwise send it several.
        """
        for name, rest in rests.items():
            if name not in self.targets:
                continue
            until = now + rest.left_s
            self._rests_until[name] = max(self._rests_until.get(name, 0.0), until)
            count = max(self._failures.get(name, 0), rest.failures)
            self._failures[name] = count

    def worked(self, name: str) -> None:
        """Notes that a target answered."""
        if name in self._failures:
            del self._failures[name]
            self._rests_until.pop(name, None)
            self._own_rests.pop(name, None)
