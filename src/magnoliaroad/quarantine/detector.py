"""Decides which request crashed the targets."""

import collections
from collections.abc import Iterable
from typing import NamedTuple

from magnoliaroad.quarantine.blocklist import Blocklist
from magnoliaroad.quarantine.entry import QuarantineEntry, QuarantineState
from magnoliaroad.quarantine.messages import CrashReport
from magnoliaroad.quarantine.settings import QuarantineSettings

# Crashes in which a request was lost before it is under suspicion.
CRASHES_TO_SUSPECT = 2
# Crashes that are kept as evidence at most; the oldest go first.
MAX_CRASHES = 1_000


class Crash(NamedTuple):
    """One crash of a target, put together from the hosts' reports.

    Attributes:
        target: Name of the target.
        incarnation: Its incarnation; 0 if unknown.
        first_reported_at: When the first report came, in seconds.
        route: Route on which the requests were lost.
        suspects: Fingerprints of what was lost.
        decide_at: When it is decided on, in seconds; ``None`` if it was.
    """

    target: str
    incarnation: int
    first_reported_at: float
    route: str
    suspects: frozenset[str]
    decide_at: float | None


class PoisonDetector:
    """Looks for the request that was lost in several crashes.

    Where several were lost in the same crashes, each is to run alone until one of
    them crashes a target without the others.
    """

    def __init__(self, cfg: QuarantineSettings) -> None:
        self.cfg = cfg
        self._crashes: list[Crash] = []
        self._cleared_at: dict[str, float] = {}

    def add_report(self, report: CrashReport, now: float) -> None:
        """Takes in what a host lost; reports of one crash are merged."""
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
        """Drops what was held against ``fingerprints`` until ``now``."""
        for fingerprint in fingerprints:
            self._cleared_at[fingerprint] = now

    @property
    def has_pending(self) -> bool:
        """Whether there are crashes to decide on."""
        return any(crash.decide_at is not None for crash in self._crashes)

    def due_decisions(self, now: float, blocklist: Blocklist) -> list[QuarantineEntry]:
        """Returns the entries that crashes reported long enough ago lead to.

        Args:
            now: Time in seconds.
            blocklist: Decisions in force, which need not be made again.
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
        """Returns the crashes in which each of those lost in ``crash`` was lost.

        One that was under suspicion before was lost in earlier crashes, also where
        the evidence went with the host that had it.
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
