"""Groups the requests that a host loses into crash reports."""

import collections
import math
from typing import NamedTuple

from magnoliaroad.quarantine.messages import CrashDetails, CrashReport, LostRequest
from magnoliaroad.quarantine.settings import QuarantineSettings

# Maximum time in seconds between an unanswered request and the disappearance of its
# target, in either order, for the request to count as lost in a crash. The platform
# removes the entry of a silent target within this time.
UNANSWERED_WINDOW_S = 10.0


class TargetIncarnation(NamedTuple):
    """A target process, identified by the target's name and start time.

    Attributes:
        target: Name of the target.
        started_ms: Start time in milliseconds since 1970; 0 if unknown.
    """

    target: str
    started_ms: int


class _UnansweredRequest(NamedTuple):
    """A request that was sent and got no complete answer."""

    failed_at: float
    incarnation: TargetIncarnation
    route: str
    fingerprint: str
    sent_at: float


class _LostRequests:
    """Requests that were lost at one incarnation of a target."""

    def __init__(self, first_lost_at: float, route: str) -> None:
        self.first_lost_at = first_lost_at
        self.route = route
        # Time at which each was sent, by fingerprint; the first if there were several.
        self.sent_at: dict[str, float] = {}

    def add(self, fingerprint: str, sent_at: float) -> None:
        """Adds a request."""
        known = self.sent_at.get(fingerprint, sent_at)
        self.sent_at[fingerprint] = min(known, sent_at)


class CrashReporter:
    """Groups lost requests by target incarnation and reports them as crashes.

    Requests that completed on this host recently are left out of the reports; only the
    details have them.
    """

    def __init__(self, cfg: QuarantineSettings) -> None:
        self.cfg = cfg
        self._details: list[CrashDetails] = []
        self._losses: dict[TargetIncarnation, _LostRequests] = {}
        self._unanswered: collections.deque[_UnansweredRequest] = collections.deque(
            maxlen=cfg.remembered
        )
        self._disappeared_at: dict[TargetIncarnation, float] = {}
        self._completed_at: collections.OrderedDict[str, float] = (
            collections.OrderedDict()
        )

    def request_completed(self, fingerprint: str, now: float) -> None:
        """Records that a request completed without a crash."""
        self._completed_at[fingerprint] = now
        self._completed_at.move_to_end(fingerprint)
        if len(self._completed_at) > self.cfg.remembered:
            self._completed_at.popitem(last=False)

    def request_lost(
        self,
        incarnation: TargetIncarnation,
        route: str,
        fingerprint: str,
        now: float,
        sent_at: float | None = None,
    ) -> None:
        """Records that a request's connection ended before its answer did.

        Args:
            incarnation: The target.
            route: Route of the request.
            fingerprint: Its fingerprint.
            now: Time in seconds.
            sent_at: Time at which it was sent; ``now`` if not given.
        """
        loss = self._losses.setdefault(incarnation, _LostRequests(now, route))
        loss.add(fingerprint, now if sent_at is None else sent_at)

    def request_unanswered(
        self,
        incarnation: TargetIncarnation,
        route: str,
        fingerprint: str,
        now: float,
        sent_at: float | None = None,
    ) -> None:
        """Records that a request got no complete answer; its target may have crashed.

        A target that loses power or becomes unreachable does not reset its
        connections, so the request counts as lost only if the target disappears.

        Args:
            incarnation: The target.
            route: Route of the request.
            fingerprint: Its fingerprint.
            now: Time in seconds.
            sent_at: Time at which it was sent; ``now`` if not given.
        """
        self._expire(now)
        sent_at = now if sent_at is None else sent_at
        if incarnation in self._disappeared_at:
            self.request_lost(incarnation, route, fingerprint, now, sent_at)
        else:
            self._unanswered.append(
                _UnansweredRequest(now, incarnation, route, fingerprint, sent_at)
            )

    def target_disappeared(self, incarnation: TargetIncarnation, now: float) -> None:
        """Records that a target disappeared without announcing its shutdown."""
        self._expire(now)
        self._disappeared_at[incarnation] = now
        for request in self._unanswered:
            if request.incarnation == incarnation:
                self.request_lost(
                    incarnation,
                    request.route,
                    request.fingerprint,
                    now,
                    request.sent_at,
                )

    def completed_ago_s(self, fingerprint: str, now: float) -> float | None:
        """Returns how long ago such a request completed here, in seconds.

        ``None`` if none did within ``cfg.evidence_s``.
        """
        completed_at = self._completed_at.get(fingerprint, -math.inf)
        ago_s = max(0.0, now - completed_at)
        return ago_s if ago_s <= self.cfg.evidence_s else None

    @property
    def has_pending(self) -> bool:
        """Whether there are lost requests that have not been reported yet."""
        return bool(self._losses)

    def due_reports(self, now: float) -> list[CrashReport]:
        """Returns and removes the reports whose time to gather requests is over."""
        due = [
            incarnation
            for incarnation, loss in self._losses.items()
            if now - loss.first_lost_at >= self.cfg.gather_s
        ]
        reports = [self._report(incarnation, now) for incarnation in due]
        return [report for report in reports if report.fingerprints]

    def _report(self, incarnation: TargetIncarnation, now: float) -> CrashReport:
        loss = self._losses.pop(incarnation)
        requests = tuple(
            LostRequest(f, max(0.0, now - at), self.completed_ago_s(f, now))
            for f, at in sorted(loss.sent_at.items())
        )
        self._details.append(
            CrashDetails(
                incarnation.target,
                incarnation.started_ms,
                loss.route,
                max(0.0, now - loss.first_lost_at),
                requests,
            )
        )
        return CrashReport(
            incarnation.target,
            loss.first_lost_at,
            tuple(req.fingerprint for req in requests if req.answered_s is None),
            loss.route,
            incarnation.started_ms,
        )

    def take_details(self) -> list[CrashDetails]:
        """Returns and removes the details of the crashes whose reports were due."""
        details, self._details = self._details, []
        return details

    def _expire(self, now: float) -> None:
        cutoff = now - UNANSWERED_WINDOW_S
        while self._unanswered and self._unanswered[0].failed_at < cutoff:
            self._unanswered.popleft()
        self._disappeared_at = {
            incarnation: at
            for incarnation, at in self._disappeared_at.items()
            if at >= cutoff
        }
