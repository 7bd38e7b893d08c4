"""The targets that a host knows, with their load, cooldowns and pace."""

import statistics
from collections.abc import Collection, Iterable
from typing import NamedTuple

from magnoliaroad.evacuation.orders import EvacuationOrders
from magnoliaroad.relay.leaving import LeavingTargets
from magnoliaroad.relay.target import RelayTarget, TargetState
from magnoliaroad.relay.target_limit import TargetLimits
from magnoliaroad.slow_start.cold_targets import ColdTargets

# A target is slow if its mean gap between events exceeds the median target's by this
# factor. A full batch makes a step only about 1.5 times as long.
SLOW_FACTOR = 2.5
# Weight of a new gap in a target's exponentially weighted mean gap.
GAP_WEIGHT = 0.2
# Time after which a mean gap is outdated, in seconds; the target is then tried again.
GAP_LIFETIME_S = 2.0
# Most times that a cooldown doubles; a larger power would exceed a float's range.
MAX_DOUBLINGS = 32


class _EventGap(NamedTuple):
    """Mean time between events of a target, and when it was last updated."""

    mean_s: float
    at: float


class TargetCooldown(NamedTuple):
    """The cooldown of a target that failed at a host.

    Attributes:
        failures: Failures in a row.
        remaining_s: Time until the host sends it requests again, in seconds.
    """

    failures: int
    remaining_s: float


class TargetTable:
    """Targets by name, with the requests in flight and recent failures of each.

    Attributes:
        targets: The targets that the store lists, by name.
        in_flight: Requests of this host in flight, by target.
        leaving: Targets that have announced that they leave.
        limits: Limits that targets have stated.
        cold: Targets that take few requests because they have just started.
        evacuations: Data centres whose targets get no further requests.
        silent_data_centres: Data centres out of contact. The load of their targets is
            not known, and calls to them are likely to fail.
    """

    def __init__(self) -> None:
        self.leaving = LeavingTargets()
        self.limits = TargetLimits()
        self.cold = ColdTargets()
        self.evacuations = EvacuationOrders()
        self.silent_data_centres: Collection[str] = frozenset()
        self.targets: dict[str, RelayTarget] = {}
        self.in_flight: dict[str, int] = {}
        self._remote_in_flight: dict[str, dict[str, int]] = {}
        self._failures: dict[str, int] = {}
        self._cooldown_until: dict[str, float] = {}
        self._own_cooldowns: dict[str, float] = {}
        self._event_gaps: dict[str, _EventGap] = {}

    def set(self, target: RelayTarget) -> None:
        """Adds or replaces a target."""
        self.targets[target.name] = target

    def remove(self, name: str) -> None:
        """Removes a target with its failures and event gaps."""
        for table in (
            self.targets,
            self._failures,
            self._cooldown_until,
            self._own_cooldowns,
            self._event_gaps,
        ):
            table.pop(name, None)

    def usable(
        self,
        service: str,
        now: float,
        excluded: Collection[str] = (),
        version: str | None = None,
        data_centres: Collection[str] | None = None,
    ) -> list[RelayTarget]:
        """Returns the targets of ``service`` that may get new requests.

        Targets in cooldown, slow targets and those of data centres out of contact are
        left out unless there are no others. Leaving targets and those of evacuated data
        centres are always left out.

        Args:
            service: Name of the service.
            now: Time in seconds.
            excluded: Names of targets that were already tried.
            version: Version of their software; ``None`` for any.
            data_centres: Data centres to which the request may go; ``None`` for any.
        """
        # Not looked up by each target: most deployments have no order at all.
        evacuated = self.evacuations.names
        ready = [
            target
            for target in self.targets.values()
            if target.service == service
            and target.state is TargetState.READY
            and target not in self.leaving
            and target.data_centre not in evacuated
            and version in (None, target.version)
            and (data_centres is None or target.data_centre in data_centres)
        ]
        available = [t for t in ready if self._cooldown_until.get(t.name, 0.0) <= now]
        left = [t for t in available or ready if t.name not in excluded]
        reached = [t for t in left if t.data_centre not in self.silent_data_centres]
        return self._without_slow(reached, now) or left

    def accepts(self, target: RelayTarget) -> bool:
        """Whether a target that was usable may still get a new request."""
        known = self.targets.get(target.name)
        return (
            known is not None
            and known.started_ms == target.started_ms
            and known.state is TargetState.READY
            and target not in self.leaving
            and known.data_centre not in self.evacuations.names
        )

    def all_evacuated(
        self, service: str, data_centres: Collection[str] | None = None
    ) -> bool:
        """Whether a service would have targets if no data centre were evacuated.

        Args:
            service: Name of the service.
            data_centres: Data centres to which the request may go; ``None`` for any.
        """
        evacuated = self.evacuations.names
        if not evacuated:
            return False
        used = {
            target.data_centre
            for target in self.targets.values()
            if target.service == service
            and target.state is TargetState.READY
            and target not in self.leaving
            and (data_centres is None or target.data_centre in data_centres)
        }
        return bool(used) and used <= evacuated

    def record_event_gap(self, name: str, gap_s: float, now: float) -> None:
        """Adds a gap between two events of a target's stream to its mean."""
        before = self._event_gaps.get(name)
        if before is None or now - before.at > GAP_LIFETIME_S:
            mean_s = gap_s
        else:
            mean_s = before.mean_s + GAP_WEIGHT * (gap_s - before.mean_s)
        self._event_gaps[name] = _EventGap(mean_s, now)

    def _without_slow(
        self, targets: list[RelayTarget], now: float
    ) -> list[RelayTarget]:
        """Returns ``targets`` without those that are much slower than the median.

        Guards against an engine that becomes slow while its status and its queue look
        healthy: requests that stay there miss their time limits. Limited targets have
        few requests, which makes those that take the others' look slow; they are not
        compared.
        """
        gaps_s = {
            target.name: gap.mean_s
            for target in targets
            if not self.limits.is_limited(target)
            and (gap := self._event_gaps.get(target.name)) is not None
            and now - gap.at <= GAP_LIFETIME_S
        }
        if len(gaps_s) < 2:
            return targets
        limit_s = SLOW_FACTOR * statistics.median_low(gaps_s.values())
        return [t for t in targets if gaps_s.get(t.name, 0.0) <= limit_s]

    def load(self, name: str) -> int:
        """Returns the requests in flight at a target, of all hosts."""
        remote = sum(counts.get(name, 0) for counts in self._remote_in_flight.values())
        return self.in_flight.get(name, 0) + remote

    def record_start(self, name: str) -> None:
        """Counts a request that is sent to a target."""
        self.in_flight[name] = self.in_flight.get(name, 0) + 1

    def record_end(self, name: str) -> None:
        """Counts the end of a request at a target."""
        left = self.in_flight.get(name, 0) - 1
        if left > 0:
            self.in_flight[name] = left
        else:
            self.in_flight.pop(name, None)

    def set_remote_in_flight(self, host: str, in_flight: dict[str, int]) -> None:
        """Replaces a peer's requests in flight, by target."""
        self._remote_in_flight[host] = in_flight

    def replace_remote_in_flight(self, in_flight: dict[str, dict[str, int]]) -> None:
        """Replaces all other hosts' requests in flight, by host or group of hosts."""
        self._remote_in_flight = in_flight

    def retain_hosts(self, kept: Iterable[str]) -> None:
        """Removes the requests in flight of hosts other than ``kept``."""
        kept = set(kept)
        self._remote_in_flight = {
            h: c for h, c in self._remote_in_flight.items() if h in kept
        }

    def record_failure(
        self, name: str, now: float, cooldown_s: float, max_s: float
    ) -> float:
        """Starts a target's cooldown after a failure; returns its length in seconds.

        It doubles with each failure in a row, from ``cooldown_s`` up to ``max_s``.
        """
        count = self._failures[name] = self._failures.get(name, 0) + 1
        pause_s = min(max_s, cooldown_s * 2 ** min(count - 1, MAX_DOUBLINGS))
        self._cooldown_until[name] = self._own_cooldowns[name] = now + pause_s
        return pause_s

    def cooldown_s(self, name: str, now: float) -> float:
        """Returns the time for which a target is in cooldown, in seconds."""
        return max(0.0, self._cooldown_until.get(name, 0.0) - now)

    def end_cooldowns(self, names: Iterable[str]) -> None:
        """Ends the cooldowns of targets that have not failed after all."""
        for name in names:
            self.record_success(name)

    def cooldowns(self, now: float) -> dict[str, TargetCooldown]:
        """Returns the targets in cooldown because they failed at this host."""
        return {
            name: TargetCooldown(self._failures.get(name, 1), until - now)
            for name, until in self._own_cooldowns.items()
            if until > now
        }

    def merge_cooldowns(self, now: float, cooldowns: dict[str, TargetCooldown]) -> None:
        """Applies the cooldowns of targets that failed at a peer.

        Guards against a target that looks healthy and fails each request: every host
        would otherwise send it several.
        """
        for name, cooldown in cooldowns.items():
            if name not in self.targets:
                continue
            until = now + cooldown.remaining_s
            self._cooldown_until[name] = max(self._cooldown_until.get(name, 0.0), until)
            count = max(self._failures.get(name, 0), cooldown.failures)
            self._failures[name] = count

    def record_success(self, name: str) -> None:
        """Ends the cooldown of a target that answered."""
        if name in self._failures:
            del self._failures[name]
            self._cooldown_until.pop(name, None)
            self._own_cooldowns.pop(name, None)
