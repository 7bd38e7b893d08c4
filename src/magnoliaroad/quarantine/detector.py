"""Decides which requests crash targets, from the hosts' crash reports."""

import collections
from collections.abc import Iterable
from typing import NamedTuple

from magnoliaroad.quarantine.blocklist import Blocklist
from magnoliaroad.quarantine.entry import QuarantineEntry, QuarantineState
from magnoliaroad.quarantine.messages import CrashReport
from magnoliaroad.quarantine.settings import QuarantineSettings

# Number of crashes in which a request must have been lost to become a suspect.
CRASHES_TO_SUSPECT = 2
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
    """

    target: str
    incarnation: int
    first_reported_at: float
    route: str
    suspects: frozenset[str]
    decide_at: float | None


class PoisonDetector:
    """Finds the request that was lost in several crashes.

    If several requests were lost in the same crashes, each may only run alone until
    one of them crashes a target without the others.
    """

    def __init__(self, cfg: QuarantineSettings) -> None:
        self.cfg = cfg
        self._crashes: list[Crash] = []
        self._cleared_at: dict[str, float] = {}

    def add_report(self, report: CrashReport, now: float) -> None:
        """Adds a host's report; reports of the same crash are merged."""
        suspects = frozenset(report.fingerprints)
        new_decide_at = now + self.cfg.settle_s
        for index, crash in enumerate(self._crashes):
            if not self._matches(report, crash, now):
                continue
            if suspects - crash.suspects:
                decide_at = crash.decide_at
                self._crashes[index] = crash._replace(
                    suspects=crash.suspects | suspects,
                    decide_at=new_decide_at if decide_at is None else decide_at,
                )
            return
        self._crashes.append(
            Crash(
                report.target,
                report.incarnation,
                now,
                report.route,
                suspects,
                new_decide_at,
            )
        )
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

    def _matches(self, report: CrashReport, crash: Crash, now: float) -> bool:
        if crash.target != report.target or crash.incarnation != report.incarnation:
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
            if blocklist.state_of(fingerprint, now) is not QuarantineState.BLOCKED
        }
        threshold = self.cfg.crashes_to_block
        at_threshold = {f for f, count in counts.items() if count >= threshold}
        blocked = at_threshold if len(at_threshold) == 1 else set()
        blocked = blocked | {f for f, count in counts.items() if count > threshold}
        for fingerprint in blocked:
            self._clear_co_suspects(fingerprint, now)
        suspects = sorted(f for f, n in counts.items() if n >= CRASHES_TO_SUSPECT)
        until = now + self.cfg.block_s
        entries = []
        for fingerprint in suspects:
            state = QuarantineState.ALONE
            if fingerprint in blocked:
                state = QuarantineState.BLOCKED
            if blocklist.state_of(fingerprint, now) is not state:
                entry = QuarantineEntry(fingerprint, state, now, until, crash.route)
                entries.append(entry)
        return entries

    def _count_crashes_of(
        self, crash: Crash, now: float, blocklist: Blocklist
    ) -> dict[str, int]:
        """Returns the number of crashes for each fingerprint lost in ``crash``.

        A fingerprint that was already a suspect counts as lost in at least
        ``CRASHES_TO_SUSPECT`` earlier crashes, even if the host that held the
        evidence has been lost.
        """
        counts = self._count_by_fingerprint()
        for fingerprint in crash.suspects & counts.keys():
            entry = blocklist.get(fingerprint)
            suspected = blocklist.state_of(fingerprint, now) is QuarantineState.ALONE
            if suspected and entry.decided_at < crash.first_reported_at:
                minimum = CRASHES_TO_SUSPECT + 1
                counts[fingerprint] = max(counts[fingerprint], minimum)
        return {f: counts[f] for f in crash.suspects if f in counts}

    def _clear_co_suspects(self, cause: str, now: float) -> None:
        crashes = [crash for crash in self._crashes if cause in crash.suspects]
        co_suspects = {f for crash in crashes for f in crash.suspects} - {cause}
        self.clear(co_suspects, now)

    def _count_by_fingerprint(self) -> collections.Counter[str]:
        fingerprints = [
            fingerprint
            for crash in self._crashes
            for fingerprint in crash.suspects
            if crash.first_reported_at
            > self._cleared_at.get(fingerprint, float("-inf"))
        ]
        return collections.Counter(fingerprints)

    def _expire(self, now: float) -> None:
        cutoff = now - self.cfg.evidence_s
        self._crashes = [
            crash for crash in self._crashes if crash.first_reported_at >= cutoff
        ]
        self._cleared_at = {f: at for f, at in self._cleared_at.items() if at >= cutoff}
