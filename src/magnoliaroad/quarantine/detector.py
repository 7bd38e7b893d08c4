"""Decides which requests crash targets, from the hosts' crash reports."""

import math
from collections.abc import Iterable, Mapping
from types import MappingProxyType
from typing import NamedTuple

from magnoliaroad.quarantine.blocklist import Blocklist
from magnoliaroad.quarantine.entry import QuarantineEntry, QuarantineState
from magnoliaroad.quarantine.messages import CrashDetails, CrashReport
from magnoliaroad.quarantine.settings import QuarantineSettings

# Number of crashes in which a request must have been lost to become a suspect.
CRASHES_TO_SUSPECT = 2
# Time in which hosts that have answered a request tell so once it is blocked, in
# seconds; some round trips between data centres.
OBJECTION_S = 0.5
# Time for which such a request is blocked until then, in seconds.
PROBATION_S = 1.0
# Maximum number of crashes kept as evidence; the oldest are dropped first.
MAX_CRASHES = 1_000


class Crash(NamedTuple):
    """One crash of a target, merged from the reports of several hosts.

    Attributes:
        target: Name of the target.
        incarnation: Start time of the target in milliseconds since 1970; 0 if
            unknown.
        first_reported_at: Time at which the first report arrived, in seconds.
        route: Route of the first report.
        suspects: Fingerprints of the lost requests.
        decide_at: Time at which the crash is evaluated, in seconds; ``None`` once it
            has been.
        lost_at: Time at which the first request was lost, in seconds.
        sent_at: Times at which the requests were sent, by fingerprint, in seconds; not
            known of those that only hosts of older builds have reported.
    """

    target: str
    incarnation: int
    first_reported_at: float
    route: str
    suspects: frozenset[str]
    decide_at: float | None
    lost_at: float
    sent_at: Mapping[str, float] = MappingProxyType({})


class PoisonDetector:
    """Finds the request that was lost in several crashes.

    If several requests were lost in the same crashes, each may only run alone until
    one of them crashes a target without the others.

    What was answered counts against the crashes before, wherever it was. Of the later
    ones count those whose request was sent after the crash before: equal requests that
    many callers send are lost together when several targets end at once. What was
    answered is no suspect, and blocked for a moment at first, in which hosts that have
    answered it since may object.
    """

    def __init__(self, cfg: QuarantineSettings) -> None:
        self.cfg = cfg
        self._crashes: list[Crash] = []
        self._cleared_at: dict[str, float] = {}
        self._answered_at: dict[str, float] = {}

    def add_report(self, report: CrashReport, now: float) -> None:
        """Adds a host's report; reports of the same crash are merged."""
        if not report.fingerprints:
            return
        self._add(
            Crash(
                report.target,
                report.incarnation,
                now,
                report.route,
                frozenset(report.fingerprints),
                now + self.cfg.settle_s,
                now,
            ),
            now,
        )

    def add_details(self, details: CrashDetails, now: float) -> None:
        """Adds the details of a host's report."""
        for req in details.requests:
            if req.answered_s is not None:
                self.add_answer(req.fingerprint, now - req.answered_s)
        self._add(
            Crash(
                details.target,
                details.incarnation,
                now,
                details.route,
                frozenset(req.fingerprint for req in details.requests),
                now + self.cfg.settle_s,
                now - details.lost_s,
                {req.fingerprint: now - req.sent_s for req in details.requests},
            ),
            now,
        )

    def add_answer(self, fingerprint: str, answered_at: float) -> None:
        """Adds that a host answered a request; crashes before do not count."""
        known = self._answered_at.get(fingerprint, -math.inf)
        self._answered_at[fingerprint] = max(known, answered_at)

    def _add(self, new: Crash, now: float) -> None:
        for index, crash in enumerate(self._crashes):
            if not self._matches(new, crash, now):
                continue
            sent_at = {**new.sent_at, **crash.sent_at}
            for fingerprint, at in new.sent_at.items():
                sent_at[fingerprint] = min(at, sent_at[fingerprint])
            decide_at = crash.decide_at
            if decide_at is None and new.suspects - crash.suspects:
                decide_at = new.decide_at
            self._crashes[index] = crash._replace(
                suspects=crash.suspects | new.suspects,
                decide_at=decide_at,
                lost_at=min(crash.lost_at, new.lost_at),
                sent_at=sent_at,
            )
            return
        self._crashes.append(new)
        del self._crashes[:-MAX_CRASHES]

    def clear(self, fingerprints: Iterable[str], now: float) -> None:
        """Ignores crashes up to ``now`` as evidence against ``fingerprints``."""
        for fingerprint in fingerprints:
            self._cleared_at[fingerprint] = now

    @property
    def has_pending(self) -> bool:
        """Whether there are crashes that have not been evaluated yet."""
        return any(crash.decide_at is not None for crash in self._crashes)

    def due_decisions(self, now: float, blocklist: Blocklist) -> list[QuarantineEntry]:
        """Evaluates the crashes that are due; returns the resulting decisions.

        Args:
            now: Time in seconds.
            blocklist: Decisions in force; they are not returned again.
        """
        self._expire(now)
        entries = []
        for index, crash in enumerate(self._crashes):
            if crash.decide_at is not None and crash.decide_at <= now:
                self._crashes[index] = crash._replace(decide_at=None)
                entries += self._decide(crash, now, blocklist)
        return entries

    def is_justified(self, fingerprint: str, state: QuarantineState) -> bool:
        """Returns whether the evidence suffices for a decision in force."""
        least = CRASHES_TO_SUSPECT
        if state is QuarantineState.BLOCKED:
            least = self._threshold_of(fingerprint)
        return self._count_of(fingerprint) >= least

    def _matches(self, new: Crash, crash: Crash, now: float) -> bool:
        if crash.target != new.target or crash.incarnation != new.incarnation:
            return False
        span_s = self.cfg.gather_s + self.cfg.settle_s
        return crash.incarnation != 0 or now - crash.first_reported_at <= span_s

    def _decide(
        self, crash: Crash, now: float, blocklist: Blocklist
    ) -> list[QuarantineEntry]:
        counts = {
            fingerprint: count
            for fingerprint, count in self._count_crashes_of(
                crash, now, blocklist
            ).items()
            if not self._is_blocked_for_good(fingerprint, now, blocklist)
        }
        blocked = self._find_blocked(counts)
        entries = []
        suspects = sorted(f for f, n in counts.items() if n >= CRASHES_TO_SUSPECT)
        for fingerprint in suspects:
            state = QuarantineState.ALONE
            if fingerprint in blocked:
                state = QuarantineState.BLOCKED
            block_s = self._block_s(fingerprint, state, crash, now, blocklist)
            if block_s:
                until = now + block_s
                entry = QuarantineEntry(fingerprint, state, now, until, crash.route)
                entries.append(entry)
        for entry in entries:
            if entry.state is QuarantineState.BLOCKED and not _is_probation(entry):
                self._clear_co_suspects(entry.fingerprint, now)
        return entries

    def _find_blocked(self, counts: Mapping[str, int]) -> set[str]:
        """Returns the fingerprints to block, by their numbers of crashes."""
        thresholds = {f: self._threshold_of(f) for f in counts}
        at_threshold = {f for f, count in counts.items() if count >= thresholds[f]}
        blocked = at_threshold if len(at_threshold) == 1 else set()
        return blocked | {f for f, n in counts.items() if n > thresholds[f]}

    def _block_s(
        self,
        fingerprint: str,
        state: QuarantineState,
        crash: Crash,
        now: float,
        blocklist: Blocklist,
    ) -> float:
        """Returns how long a decision is to hold, in seconds; 0 for none now.

        The crash may be evaluated again.
        """
        known = blocklist.state_of(fingerprint, now)
        if fingerprint not in self._answered_at:
            return 0.0 if known is state else self.cfg.block_s
        if state is not QuarantineState.BLOCKED:
            return 0.0
        if known is not QuarantineState.BLOCKED:
            self._decide_again(crash, now + OBJECTION_S)
            return PROBATION_S
        decide_at = blocklist.get(fingerprint).decided_at + OBJECTION_S
        if now < decide_at:
            self._decide_again(crash, decide_at)
            return 0.0
        return self.cfg.block_s

    def _decide_again(self, crash: Crash, at: float) -> None:
        """Evaluates a crash again at a time, in seconds, or earlier if it is due."""
        evaluated = crash._replace(decide_at=None)
        for index, known in enumerate(self._crashes):
            if known._replace(decide_at=None) == evaluated:
                at = at if known.decide_at is None else min(at, known.decide_at)
                self._crashes[index] = known._replace(decide_at=at)

    def _is_blocked_for_good(
        self, fingerprint: str, now: float, blocklist: Blocklist
    ) -> bool:
        if blocklist.state_of(fingerprint, now) is not QuarantineState.BLOCKED:
            return False
        return not _is_probation(blocklist.get(fingerprint))

    def _threshold_of(self, fingerprint: str) -> int:
        if fingerprint in self._answered_at:
            return max(self.cfg.crashes_to_block, CRASHES_TO_SUSPECT + 1)
        return self.cfg.crashes_to_block

    def _count_crashes_of(
        self, crash: Crash, now: float, blocklist: Blocklist
    ) -> dict[str, int]:
        """Returns the number of crashes for each fingerprint lost in ``crash``.

        A fingerprint that was already a suspect counts as lost in at least
        ``CRASHES_TO_SUSPECT`` earlier crashes, even if the host that held the
        evidence has been lost.
        """
        counts = {f: self._count_of(f) for f in crash.suspects}
        for fingerprint in counts:
            entry = blocklist.get(fingerprint)
            suspected = blocklist.state_of(fingerprint, now) is QuarantineState.ALONE
            answered_at = self._answered_at.get(fingerprint, -math.inf)
            if suspected and answered_at < entry.decided_at < crash.first_reported_at:
                minimum = CRASHES_TO_SUSPECT + 1
                counts[fingerprint] = max(counts[fingerprint], minimum)
        return counts

    def _clear_co_suspects(self, cause: str, now: float) -> None:
        crashes = [crash for crash in self._crashes if cause in crash.suspects]
        co_suspects = {f for crash in crashes for f in crash.suspects} - {cause}
        self.clear(co_suspects, now)

    def _count_of(self, fingerprint: str) -> int:
        """Returns the crashes that count as evidence against a request."""
        cleared_at = self._cleared_at.get(fingerprint, -math.inf)
        crashes = [
            crash
            for crash in self._crashes
            if fingerprint in crash.suspects and crash.first_reported_at > cleared_at
        ]
        answered_at = self._answered_at.get(fingerprint)
        if answered_at is None:
            return len(crashes)
        count, last_lost_at = 0, answered_at
        for crash in sorted(crashes, key=lambda crash: crash.lost_at):
            sent_at = crash.sent_at.get(fingerprint, crash.lost_at)
            # Of a target whose start is not known, a crash can't be told from an answer
            # that it broke off.
            if crash.incarnation and sent_at > last_lost_at:
                count, last_lost_at = count + 1, crash.lost_at
        return count

    def _expire(self, now: float) -> None:
        cutoff = now - self.cfg.evidence_s
        self._crashes = [
            crash for crash in self._crashes if crash.first_reported_at >= cutoff
        ]
        self._cleared_at = {f: at for f, at in self._cleared_at.items() if at >= cutoff}
        self._answered_at = {
            f: at for f, at in self._answered_at.items() if at >= cutoff
        }


def _is_probation(entry: QuarantineEntry) -> bool:
    """Returns whether an entry blocks only until hosts have objected."""
    return entry.until - entry.decided_at < 2 * PROBATION_S
