"""Keeps the rates that targets state, over all hosts."""

import math
import time
from collections.abc import Callable
from typing import NamedTuple

from loguru import logger

from magnoliaroad.peers import PeerError, Peers
from magnoliaroad.relay.home_hosts import ASK_S, HomeHosts
from magnoliaroad.relay.metrics import COLD_TARGETS, LIMITED_TARGETS, TARGET_ADMISSIONS
from magnoliaroad.relay.target import RelayTarget, TargetStart, start_of
from magnoliaroad.relay.target_limit import (
    MIN_RATE,
    BucketDecision,
    TargetBucket,
)
from magnoliaroad.relay.target_limit_messages import (
    NO_LIMIT,
    TargetAdmissionReply,
    TargetAdmissionRequest,
    TargetLimitNotice,
)
from magnoliaroad.relay.target_table import TargetTable
from magnoliaroad.slow_start import ColdAdmissionRequest, ColdRates, SendSlots

# Longest time for which a host remembers that a target takes no more requests without
# asking again, in seconds.
MAX_REMEMBERED_S = 0.25

ADMITTED = BucketDecision(True, 0.0)
# Reply of a home host that cannot decide.
UNKNOWN_TARGET = TargetAdmissionReply(False, False, 0.0, NO_LIMIT, 0.0)


class LimitView(NamedTuple):
    """What this host knows of the limit of a target.

    Attributes:
        rate: Requests a second that the target takes.
        home: Host that counts them; ``None`` if that is this host.
        wait_s: Time until a request may be sent there, in seconds; ``None`` if only
            the home host knows.
    """

    rate: float
    home: str | None
    wait_s: float | None


class TargetLimiter:
    """Admits requests to limited targets at one host for each target.

    A target states its limit in its answers, for all hosts together. A host that has
    passed such an answer on asks the target's home host, the first choice of rendezvous
    hashing, before it sends a request there. While the home host does not answer, it
    uses the part of the limit that one of all hosts has. The home host scales the limit
    down to the fraction of hosts in contact, so that both together keep it.

    Cold targets have a rate, too, which their service's configuration states. Of both
    the lower holds.

    A stated limit ends with the first answer without one to a request that was sent
    after it was last stated.

    Args:
        name: Name of this host.
        peers: Connections between hosts.
        table: The known targets.
        hosts: Returns the hosts in contact that may be home hosts, possibly this one.
        host_count: Returns the number of known hosts, this one included.
        contact_fraction: Returns the fraction of them that is in contact.
        cold_rates: The rates of cold targets.
        now: Clock in seconds.
    """

    def __init__(
        self,
        name: str,
        peers: Peers,
        table: TargetTable,
        hosts: Callable[[], list[str]],
        host_count: Callable[[], int],
        contact_fraction: Callable[[], float],
        cold_rates: ColdRates,
        now: Callable[[], float] = time.monotonic,
    ) -> None:
        self.limits = table.limits
        self._name = name
        self._peers = peers
        self._table = table
        self._homes = HomeHosts(hosts)
        self._host_count = host_count
        self._contact_fraction = contact_fraction
        self._cold_rates = cold_rates
        self._now = now
        self._buckets: dict[TargetStart, TargetBucket] = {}
        self._own_parts: dict[TargetStart, TargetBucket] = {}
        self._own_slots = SendSlots(name)
        self._refused_until: dict[tuple[TargetStart, float], float] = {}
        peers.on(TargetAdmissionRequest, self._on_request, TargetAdmissionReply)
        peers.on(ColdAdmissionRequest, self._on_cold_request, TargetAdmissionReply)
        peers.on(TargetLimitNotice, self._on_notice)

    def record_answer(
        self, target: RelayTarget, rate: float | None, sent_at: float
    ) -> None:
        """Records the limit in an answer of a target.

        Args:
            target: The target.
            rate: Requests a second; ``None`` if the answer states no limit.
            sent_at: Time in seconds at which the request was sent.
        """
        now = self._now()
        stated_at = sent_at if rate is None else now
        before = self.limits.find(target)
        if not self._record(target, rate, stated_at, "target"):
            return
        home = self._home_of(target)
        # The other hosts learn of a new limit by answers of their own, and of its end
        # from the home host.
        if home not in (None, self._name) and before is not None:
            stated = NO_LIMIT if rate is None else rate
            notice = TargetLimitNotice(*start_of(target), stated, now - stated_at)
            self._peers.send(home, notice)

    async def admit(
        self, target: RelayTarget, reserved_part: float, longest_wait_s: float = 0.0
    ) -> BucketDecision:
        """Decides whether a request may be sent to a target, and counts it if so.

        Args:
            target: The target.
            reserved_part: Part of the target's bucket that the request leaves to
                others.
            longest_wait_s: Longest time that the request may wait, in seconds.
        """
        now = self._now()
        if self._find_rate(target, now) is None:
            return ADMITTED
        remembered = (start_of(target), reserved_part)
        refused_s = self._refused_until.get(remembered, 0.0) - now
        if refused_s > longest_wait_s:
            return BucketDecision(False, refused_s)
        decision = await self._decide(target, reserved_part, longest_wait_s)
        if decision.admitted:
            self._refused_until.pop(remembered, None)
        elif self._find_rate(target, now) is not None:
            remembered_s = min(decision.wait_s, MAX_REMEMBERED_S)
            self._refused_until[remembered] = now + remembered_s
        outcome = "admitted" if decision.admitted else "refused"
        is_cold = self._cold_rates.find(target, now) is not None
        reason = "cold" if is_cold else "stated"
        TARGET_ADMISSIONS.inc({"outcome": outcome, "reason": reason})
        return decision

    def view(
        self, target: RelayTarget, reserved_part: float, now: float
    ) -> LimitView | None:
        """Returns the limit of a target, which it does not use; ``None`` without one.

        Args:
            target: The target.
            reserved_part: Part of the bucket that a request would leave to others.
            now: Time in seconds.
        """
        rate = self._find_rate(target, now)
        if rate is None:
            return None
        start, home = start_of(target), self._home_of(target)
        refused_s = self._refused_until.get((start, reserved_part), 0.0) - now
        if home not in (None, self._name):
            return LimitView(rate, home, refused_s if refused_s > 0 else None)
        bucket = self._buckets.get(start) or TargetBucket(now)
        part_rate, burst = self._bucket_limits(
            target, rate, self._contact_fraction(), now
        )
        wait_s = bucket.wait_s(now, part_rate, reserved_part, burst)
        return LimitView(rate, None, max(wait_s, refused_s, 0.0))

    def is_limited(self, target: RelayTarget, now: float) -> bool:
        """Whether a target has a limit, or is cold and has a rate for that."""
        return self._find_rate(target, now) is not None

    def sweep(self, now: float) -> None:
        """Drops what is known of targets that are gone."""
        names = self._table.targets
        self.limits.sweep(now, names)
        for buckets in (self._buckets, self._own_parts):
            for start in [start for start in buckets if start.name not in names]:
                del buckets[start]
        self._own_slots.retain(names)
        self._refused_until = {
            key: until for key, until in self._refused_until.items() if until > now
        }
        LIMITED_TARGETS.set({}, sum(map(self.limits.is_limited, names.values())))
        for start in self._table.cold.sweep(now, names):
            logger.bind(target=start.name, started_ms=start.started_ms).info(
                "target warm"
            )
        COLD_TARGETS.set({}, len(self._table.cold))

    def _find_rate(self, target: RelayTarget, now: float) -> float | None:
        """Returns the requests a second that a target takes; ``None`` for no limit."""
        stated = self.limits.find(target)
        rate = None if stated is None else stated.rate
        cold_rate = self._cold_rates.find(target, now)
        if rate is None or cold_rate is None:
            return cold_rate if rate is None else rate
        return min(rate, cold_rate)

    async def _decide(
        self, target: RelayTarget, reserved_part: float, longest_wait_s: float
    ) -> BucketDecision:
        home = self._home_of(target)
        if home in (None, self._name):
            return self._admit_for_all(target, reserved_part, longest_wait_s)
        req = self._admission_request(target, reserved_part, longest_wait_s)
        try:
            reply = await self._peers.call_with_deadline(home, req, ASK_S)
        except PeerError as exc:
            logger.bind(host=home, target=target.name, reason=repr(exc)).info(
                "target's host not reached"
            )
            return self._admit_own_part(target, reserved_part, longest_wait_s)
        if not reply.known:
            return self._admit_own_part(target, reserved_part, longest_wait_s)
        rate = None if reply.rate == NO_LIMIT else reply.rate
        self._record(target, rate, self._now() - reply.age_s, home)
        return BucketDecision(reply.admitted, reply.wait_s)

    def _admission_request(
        self, target: RelayTarget, reserved_part: float, longest_wait_s: float
    ) -> TargetAdmissionRequest | ColdAdmissionRequest:
        now, stated = self._now(), self.limits.find(target)
        cold_rate = self._cold_rates.find(target, now)
        is_stated = stated is not None and stated.rate is not None
        # The home host may not have read yet that the target is cold.
        if is_stated and (cold_rate is None or stated.rate <= cold_rate):
            return TargetAdmissionRequest(
                *start_of(target),
                rate=stated.rate,
                age_s=now - stated.stated_at,
                reserved_part=reserved_part,
                longest_wait_s=longest_wait_s,
            )
        return ColdAdmissionRequest(
            *start_of(target),
            cold_s=self._cold_rates.remaining_s(target, now),
            reserved_part=reserved_part,
            longest_wait_s=longest_wait_s,
        )

    def _admit_for_all(
        self, target: RelayTarget, reserved_part: float, longest_wait_s: float
    ) -> BucketDecision:
        """Decides as the home host of a target."""
        part = self._contact_fraction()
        return self._take(self._buckets, part, target, reserved_part, longest_wait_s)

    def _admit_own_part(
        self, target: RelayTarget, reserved_part: float, longest_wait_s: float
    ) -> BucketDecision:
        """Decides while the home host of a target cannot be asked."""
        part = 1 / max(1, self._host_count())
        now = self._now()
        if self._cold_rates.find(target, now) is not None:
            rate = max(MIN_RATE, self._find_rate(target, now))
            own_rate = part * self._cold_rates.unshared_rate(rate)
            start = start_of(target)
            return self._own_slots.take(start, now, own_rate, longest_wait_s)
        return self._take(self._own_parts, part, target, reserved_part, longest_wait_s)

    def _take(
        self,
        buckets: dict[TargetStart, TargetBucket],
        part: float,
        target: RelayTarget,
        reserved_part: float,
        longest_wait_s: float,
    ) -> BucketDecision:
        """Takes a token from a target's bucket, which has a part of its rate."""
        now = self._now()
        whole_rate = self._find_rate(target, now)
        if whole_rate is None:
            return ADMITTED
        bucket = buckets.setdefault(start_of(target), TargetBucket(now))
        rate, burst = self._bucket_limits(target, whole_rate, part, now)
        return bucket.take(now, rate, reserved_part, longest_wait_s, burst)

    def _bucket_limits(
        self, target: RelayTarget, whole_rate: float, part: float, now: float
    ) -> tuple[float, float | None]:
        """Returns the rate and the burst of a bucket with a part of a target's rate."""
        rate = max(MIN_RATE, whole_rate) * part
        is_cold = self._cold_rates.find(target, now) is not None
        return rate, self._cold_rates.burst() if is_cold else None

    def _record(
        self, target: RelayTarget, rate: float | None, at: float, source: str
    ) -> bool:
        changed = self.limits.record(target, rate, at)
        if changed:
            logger.bind(
                target=target.name,
                started_ms=target.started_ms,
                rate=rate,
                source=source,
                age_s=round(self._now() - at, 3),
            ).info("target's limit changed")
        return changed

    def _home_of(self, target: RelayTarget) -> str | None:
        return self._homes.find(f"target {target.name}")

    def _find_start(self, name: str, started_ms: int) -> RelayTarget | None:
        target = self._table.targets.get(name)
        if target is None or target.started_ms != started_ms:
            return None
        return target

    def _on_request(
        self, sender: str, req: TargetAdmissionRequest
    ) -> TargetAdmissionReply:
        target = self._find_start(req.target, req.started_ms)
        if target is None:
            return UNKNOWN_TARGET
        self._record(target, req.rate, self._now() - req.age_s, sender)
        return self._answer(target, req)

    def _on_cold_request(
        self, sender: str, req: ColdAdmissionRequest
    ) -> TargetAdmissionReply:
        target = self._find_start(req.target, req.started_ms)
        if target is None:
            return UNKNOWN_TARGET
        now = self._now()
        self._table.cold.record_remaining(target, req.cold_s, now)
        if self._find_rate(target, now) is None:
            # This host has another configuration, or none yet.
            return UNKNOWN_TARGET
        return self._answer(target, req)

    def _answer(
        self, target: RelayTarget, req: TargetAdmissionRequest | ColdAdmissionRequest
    ) -> TargetAdmissionReply:
        decision = self._admit_for_all(target, req.reserved_part, req.longest_wait_s)
        stated = self.limits.find(target)
        rate, age_s = NO_LIMIT, math.inf
        if stated is not None:
            rate = NO_LIMIT if stated.rate is None else stated.rate
            age_s = self._now() - stated.stated_at
        return TargetAdmissionReply(
            True, decision.admitted, decision.wait_s, rate, age_s
        )

    def _on_notice(self, sender: str, notice: TargetLimitNotice) -> None:
        target = self._find_start(notice.target, notice.started_ms)
        if target is not None:
            rate = None if notice.rate == NO_LIMIT else notice.rate
            self._record(target, rate, self._now() - notice.age_s, sender)
