"""Finds crashes of targets in the requests that a host loses."""

import collections

from magnoliaroad.quarantine.messages import CrashReport
from magnoliaroad.quarantine.settings import QuarantineSettings


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
        self._losses: dict[tuple[str, int], _Loss] = {}
        self._well: collections.OrderedDict[str, float] = collections.OrderedDict()

    def ended_well(self, fingerprint: str, now: float) -> None:
        """Takes note that a request ran without a crash."""
        self._well[fingerprint] = now
        self._well.move_to_end(fingerprint)
        if len(self._well) > self.cfg.remembered:
            self._well.popitem(last=False)

    def lost(
        self, target: str, incarnation: int, route: str, fingerprint: str, now: float
    ) -> None:
        """Takes note that a request was lost with its connection."""
        loss = self._losses.setdefault((target, incarnation), _Loss(now, route))
        loss.fingerprints.add(fingerprint)

    def is_well(self, fingerprint: str, now: float) -> bool:
        """Returns whether such a request has ended well on this host lately."""
        ended_at = self._well.get(fingerprint, float("-inf"))
        return now - ended_at <= self.cfg.evidence_s

    def due(self, now: float) -> list[CrashReport]:
        """Returns the reports on crashes that are old enough to be whole."""
        ended = [t for t, s in self._losses.items() if now - s.at >= self.cfg.gather_s]
        reports = [self._report(*target, now) for target in ended]
        return [report for report in reports if report.fingerprints]

    def _report(self, target: str, incarnation: int, now: float) -> CrashReport:
        loss = self._losses.pop((target, incarnation))
        suspects = sorted(f for f in loss.fingerprints if not self.is_well(f, now))
        return CrashReport(target, loss.at, tuple(suspects), loss.route, incarnation)
