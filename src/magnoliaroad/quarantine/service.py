"""Reports crashes to the detectors and refuses requests that are blocked."""

import asyncio
import collections
import functools
import time
from collections.abc import Callable, Iterable

from loguru import logger
from mode import Service
from returns.result import Failure, Result, Success

from magnoliaroad.background import background_task
from magnoliaroad.peers import Peers
from magnoliaroad.quarantine import metrics
from magnoliaroad.quarantine.blocklist import Blocklist
from magnoliaroad.quarantine.crash_reporter import CrashReporter, TargetIncarnation
from magnoliaroad.quarantine.detector import PoisonDetector
from magnoliaroad.quarantine.entry import (
    QuarantineEntry,
    QuarantineState,
    cleared,
)
from magnoliaroad.quarantine.messages import (
    BlocklistReply,
    BlocklistRequest,
    BlocklistUpdate,
    CrashDetails,
    CrashReport,
    SuspectAnswered,
    SuspectCleared,
)
from magnoliaroad.quarantine.refusals import quarantined, suspect_waits
from magnoliaroad.quarantine.settings import QuarantineSettings
from magnoliaroad.quarantine.stored_list import RETRY_S, save_entries
from magnoliaroad.refusal import Refusal
from magnoliaroad.rendezvous import rendezvous
from magnoliaroad.store import Store, StoreError
from magnoliaroad.targets import RequestEnd

DetectorMessage = CrashReport | CrashDetails | SuspectAnswered | SuspectCleared

# Interval between checks for crashes whose reports or decisions are due, in seconds.
CHECK_INTERVAL_S = 0.25
# Number of peers that a host forwards a new decision to.
GOSSIP_FANOUT = 5


class QuarantineService(Service):
    """Collects crash reports and applies quarantine decisions on one host.

    A few hosts at a time are the detectors for all; they decide and gossip the result.

    Args:
        cfg: Settings of the quarantine.
        host: Name of this host.
        peers: Connections between hosts.
        store: Store that holds the decisions.
        detectors: Returns the hosts that receive crash reports; if it returns none,
            this host is the detector.
        hosts: Returns the other hosts, candidates for gossip.
        clock: Returns the time in seconds since 1970.

    Attributes:
        blocklist: Decisions known to this host.
        on_new_decisions: Called after a decision that is new to this host was merged.
    """

    def __init__(
        self,
        cfg: QuarantineSettings,
        host: str,
        peers: Peers,
        store: Store,
        detectors: Callable[[], list[str]],
        hosts: Callable[[], list[str]],
        clock: Callable[[], float] = time.time,
    ) -> None:
        super().__init__()
        self.cfg = cfg
        self.host = host
        self.blocklist = Blocklist()
        self.on_new_decisions: Callable[[], None] = lambda: None
        self._crash_reporter = CrashReporter(cfg)
        self._detector = PoisonDetector(cfg)
        self._peers = peers
        self._detectors = detectors
        self._hosts = hosts
        self._store = store
        self._now = clock
        self._in_flight: collections.Counter[str] = collections.Counter()
        # Times at which requests under way were sent, by target and fingerprint.
        self._sent_at: dict[tuple[str, str], collections.deque[float]] = {}
        self._unsaved: list[QuarantineEntry] = []
        self._crashes_pending = asyncio.Event()
        self._save_requested = asyncio.Event()
        for kind in (CrashReport, CrashDetails, SuspectAnswered, SuspectCleared):
            peers.on(kind, self._on_detector_message)
        peers.on(BlocklistUpdate, self._on_blocklist_update)
        peers.on(BlocklistRequest, self._on_blocklist_request, BlocklistReply)

    @property
    def digest(self) -> int:
        """Hash of the unexpired decisions that hosts compare; 0 if there are none."""
        self.blocklist.expire(self._now())
        return self.blocklist.digest

    async def fetch_decisions(self, host: str, limit_s: float) -> None:
        """Fetches and merges the decisions of a peer.

        Raises:
            PeerError: The peer did not answer.
        """
        reply = await self._peers.call(host, BlocklistRequest(), limit_s)
        self.merge_decisions(reply.entries)

    def check(self, fingerprint: str) -> Result[None, Refusal]:
        """Returns a refusal if the request must not be sent to a target now."""
        now = self._now()
        state = self.blocklist.state_of(fingerprint, now)
        if state is QuarantineState.CLEARED:
            return Success(None)
        entry = self.blocklist.get(fingerprint)
        if state is QuarantineState.BLOCKED:
            metrics.REFUSED.inc({"state": state.value})
            return Failure(quarantined(fingerprint, entry.until - now))
        if self._suspect_in_flight(now):
            metrics.REFUSED.inc({"state": state.value})
            return Failure(suspect_waits(fingerprint))
        return Success(None)

    def request_started(self, target: str, fingerprint: str) -> None:
        """Records that a request is sent to ``target``."""
        self._in_flight[fingerprint] += 1
        sent_at = self._sent_at.setdefault((target, fingerprint), collections.deque())
        sent_at.append(self._now())

    def request_ended(
        self,
        target: str,
        fingerprint: str,
        end: RequestEnd,
        route: str = "",
        incarnation: int = 0,
    ) -> None:
        """Records how a request ended.

        Args:
            target: Name of the target.
            fingerprint: Fingerprint of the request.
            end: How the request ended.
            route: Route of the request.
            incarnation: Start time of the target in milliseconds since 1970; 0 if
                unknown.
        """
        now = self._now()
        sent_at = self._remove_in_flight(target, fingerprint)
        reporter, target_incarnation = (
            self._crash_reporter,
            TargetIncarnation(target, incarnation),
        )
        if end is RequestEnd.LOST:
            reporter.request_lost(target_incarnation, route, fingerprint, now, sent_at)
        elif end is RequestEnd.UNANSWERED:
            reporter.request_unanswered(
                target_incarnation, route, fingerprint, now, sent_at
            )
        elif end is RequestEnd.COMPLETED:
            self._record_completion(fingerprint, now)
        if reporter.has_pending:
            self._crashes_pending.set()

    def _remove_in_flight(self, target: str, fingerprint: str) -> float:
        """Removes a request under way; returns when the first equal one was sent."""
        self._in_flight[fingerprint] -= 1
        if not self._in_flight[fingerprint]:
            del self._in_flight[fingerprint]
        sent_at = self._sent_at[target, fingerprint]
        first = sent_at.popleft()
        if not sent_at:
            del self._sent_at[target, fingerprint]
        return first

    def target_disappeared(self, target: str, incarnation: int) -> None:
        """Records that a target disappeared without announcing its shutdown."""
        target_incarnation = TargetIncarnation(target, incarnation)
        self._crash_reporter.target_disappeared(target_incarnation, self._now())
        if self._crash_reporter.has_pending:
            self._crashes_pending.set()

    def _record_completion(self, fingerprint: str, now: float) -> None:
        self._crash_reporter.request_completed(fingerprint, now)
        if self.blocklist.state_of(fingerprint, now) is QuarantineState.ALONE:
            self._send_to_detectors(SuspectCleared(fingerprint))

    @background_task
    async def _detect_crashes(self) -> None:
        """Sends due crash reports and makes due decisions while any are pending."""
        while not self.should_stop:
            await self._crashes_pending.wait()
            await asyncio.sleep(CHECK_INTERVAL_S)
            now = self._now()
            for report in self._crash_reporter.due_reports(now):
                self._send_to_detectors(report)
            for details in self._crash_reporter.take_details():
                self._send_details(details)
            self._publish(self._detector.due_decisions(now, self.blocklist))
            if not (self._crash_reporter.has_pending or self._detector.has_pending):
                self._crashes_pending.clear()

    @background_task
    async def _save(self) -> None:
        while not self.should_stop:
            await self._save_requested.wait()
            self._save_requested.clear()
            entries, self._unsaved = self._unsaved, []
            try:
                await save_entries(self._store, entries, self._now())
            except (StoreError, ValueError) as exc:
                self._unsaved += entries
                logger.bind(reason=str(exc)).warning("quarantine not saved")
                await asyncio.sleep(RETRY_S)
                self._save_requested.set()
            except Exception:
                # Saved when the task has been restarted.
                self._unsaved += entries
                self._save_requested.set()
                raise

    def _send_details(self, details: CrashDetails) -> None:
        metrics.CRASHES.inc({})
        logger.bind(
            target=details.target,
            route=details.route,
            fingerprints=[req.fingerprint for req in details.requests],
        ).warning("requests lost with their target")
        self._send_to_detectors(details)

    def _send_to_detectors(self, message: DetectorMessage) -> None:
        detectors = self._detectors() or [self.host]
        self._peers.send_all([h for h in detectors if h != self.host], message)
        if self.host not in detectors:
            return
        self._detect(message)

    @functools.singledispatchmethod
    def _detect(self, message: DetectorMessage) -> None:
        """Applies a message to this host's detector."""
        raise NotImplementedError

    @_detect.register
    def _(self, message: CrashReport) -> None:
        self._detector.add_report(message, self._now())
        self._crashes_pending.set()

    @_detect.register
    def _(self, message: CrashDetails) -> None:
        self._detector.add_details(message, self._now())
        self._crashes_pending.set()

    @_detect.register
    def _(self, message: SuspectAnswered) -> None:
        # Lifts a decision for which the crashes since the answer do not suffice. A
        # detector that has no evidence for it can't tell.
        now, fingerprint = self._now(), message.fingerprint
        state = self.blocklist.state_of(fingerprint, now)
        was_justified = self._detector.is_justified(fingerprint, state)
        self._detector.add_answer(fingerprint, now - message.answered_s)
        if was_justified and not self._detector.is_justified(fingerprint, state):
            self._publish([cleared(fingerprint, now, self.cfg.block_s)])

    @_detect.register
    def _(self, message: SuspectCleared) -> None:
        self._clear_suspect(message.fingerprint)

    def _publish(self, entries: list[QuarantineEntry]) -> None:
        if not entries:
            return
        self._unsaved += entries
        self._save_requested.set()
        self._gossip(self.merge_decisions(entries))

    def _gossip(self, changed: list[QuarantineEntry]) -> None:
        """Forwards new decisions to a few peers, which forward them in turn."""
        if not changed:
            return
        key = f"{self.host}/{changed[0].fingerprint}/{changed[0].decided_at}"
        for host in rendezvous(key, self._hosts())[:GOSSIP_FANOUT]:
            self._peers.send(host, BlocklistUpdate(tuple(changed)))

    def merge_decisions(
        self, entries: Iterable[QuarantineEntry]
    ) -> list[QuarantineEntry]:
        """Merges decisions; returns those that changed the blocklist."""
        changed = self.blocklist.merge(entries)
        for entry in changed:
            logger.bind(**entry._asdict()).warning("quarantine decided")
            if entry.state is QuarantineState.CLEARED:
                self._detector.clear([entry.fingerprint], entry.decided_at)
                continue
            answered_s = self._crash_reporter.completed_ago_s(
                entry.fingerprint, self._now()
            )
            if answered_s is not None:
                message = SuspectAnswered(entry.fingerprint, answered_s)
                self._send_to_detectors(message)
        if changed:
            metrics.BLOCKED.set({}, self._count_blocked(self._now()))
            self.on_new_decisions()
        return changed

    def _clear_suspect(self, fingerprint: str) -> None:
        now = self._now()
        self._detector.clear([fingerprint], now)
        if self.blocklist.state_of(fingerprint, now) is not QuarantineState.CLEARED:
            self._publish([cleared(fingerprint, now, self.cfg.block_s)])

    def _suspect_in_flight(self, now: float) -> bool:
        states = [self.blocklist.state_of(f, now) for f in self._in_flight]
        return QuarantineState.ALONE in states

    def _count_blocked(self, now: float) -> int:
        states = [
            self.blocklist.state_of(entry.fingerprint, now)
            for entry in self.blocklist.all()
        ]
        return states.count(QuarantineState.BLOCKED)

    async def _on_detector_message(self, sender: str, message: DetectorMessage) -> None:
        self._detect(message)

    async def _on_blocklist_request(
        self, sender: str, req: BlocklistRequest
    ) -> BlocklistReply:
        return BlocklistReply(tuple(self.blocklist.all()))

    async def _on_blocklist_update(self, sender: str, update: BlocklistUpdate) -> None:
        self._gossip(self.merge_decisions(update.entries))
