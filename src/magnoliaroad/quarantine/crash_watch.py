"""Finds crashes of targets in the requests that a host loses."""

import collections
from typing import NamedTuple

from magnoliaroad.quarantine.messages import CrashReport
from magnoliaroad.quarantine.settings import QuarantineSettings

# Time for which a request that got no answer may still turn out to have been lost with
# its target, in seconds: a platform drops the entry of a silent target within it.
UNANSWERED_S = 10.0


class TargetStart(NamedTuple):
    """One start of a target.

    Attributes:
        target: Name of the target.
        incarnation: Start in milliseconds since 1970; 0 if unknown.
    """

    target: str
    incarnation: int


class _Unanswered(NamedTuple):
    """A request of which nothing was heard after it was sent."""

    at: float
    start: TargetStart
    route: str
    fingerprint: str


class _Loss:
    """Requests that were lost at one incarnation of a target."""

    def __init__(self, at: float, route: str) -> None:
        self.at = at
        self.route = route
        self.fingerprints: set[str] = set()


class CrashWatch:
    """Gathers what was lost together and remembers what ended well."""

    def __init__(self, cfg: QuarantineSettings) -> None:
        self.cfg = cfg
        self._losses: dict[TargetStart, _Loss] = {}
        self._unanswered: collections.deque[_Unanswered] = collections.deque(
            maxlen=cfg.remembered
        )
        self._ended_at: dict[TargetStart, float] = {}
        self._well: collections.OrderedDict[str, float] = collections.OrderedDict()

    def ended_well(self, fingerprint: str, now: float) -> None:
        """Takes note that a request ran without a crash."""
        self._well[fingerprint] = now
        self._well.move_to_end(fingerprint)
        if len(self._well) > self.cfg.remembered:
            self._well.popitem(last=False)

    def lost(
        self, start: TargetStart, route: str, fingerprint: str, now: float
    ) -> None:
        """Takes note that a request was lost with its connection."""
        loss = self._losses.setdefault(start, _Loss(now, route))
        loss.fingerprints.add(fingerprint)

    def unanswered(
        self, start: TargetStart, route: str, fingerprint: str, now: float
    ) -> None:
        """Takes note that nothing was heard of a target; it may have crashed.

        A target that loses power, or whose connection has gone silent, resets none.
        """
        self._forget(now)
        if start in self._ended_at:
            self.lost(start, route, fingerprint, now)
        else:
            self._unanswered.append(_Unanswered(now, start, route, fingerprint))

    def target_ended(self, start: TargetStart, now: float) -> None:
        """Takes note that a target is gone that did not say that it leaves."""
        self._forget(now)
        self._ended_at[start] = now
        for request in self._unanswered:
            if request.start == start:
                self.lost(start, request.route, request.fingerprint, now)

    def is_well(self, fingerprint: str, now: float) -> bool:
        """Returns whether such a request has ended well on this host lately."""
        ended_at = self._well.get(fingerprint, float("-inf"))
        return now - ended_at <= self.cfg.evidence_s

    @property
    def pending(self) -> bool:
        """Whether there are losses that were not reported yet."""
        return bool(self._losses)

    def due(self, now: float) -> list[CrashReport]:
        """Returns the reports on crashes that are old enough to be whole."""
        ended = [t for t, s in self._losses.items() if now - s.at >= self.cfg.gather_s]
        reports = [self._report(start, now) for start in ended]
        return [report for report in reports if report.fingerprints]

    def _report(self, start: TargetStart, now: float) -> CrashReport:
        loss = self._losses.pop(start)
        suspects = sorted(f for f in loss.fingerprints if not self.is_well(f, now))
        return CrashReport(
            start.target, loss.at, tuple(suspects), loss.route, start.incarnation
        )

    def _forget(self, now: float) -> None:
        before = now - UNANSWERED_S
        while self._unanswered and self._unanswered[0].at < before:
            self._unanswered.popleft()
        self._ended_at = {s: at for s, at in self._ended_at.items() if at >= before}
