"""Detection of requests that crash targets, without I/O."""

import pytest

from magnoliaroad.quarantine import (
    Blocklist,
    CrashReport,
    CrashReporter,
    PoisonDetector,
    QuarantineEntry,
    QuarantineSettings,
    QuarantineState,
)
from magnoliaroad.quarantine.crash_reporter import (
    UNANSWERED_WINDOW_S,
    TargetIncarnation,
)
from magnoliaroad.quarantine.detector import OBJECTION_S, PROBATION_S
from magnoliaroad.quarantine.messages import CrashDetails, LostRequest

CFG = QuarantineSettings(crashes_to_block=3)
ALONE, BLOCKED = QuarantineState.ALONE, QuarantineState.BLOCKED
SETTLED_S = CFG.settle_s + 0.01


class DetectorHarness:
    """A detector with a clock and the blocklist of its own decisions."""

    def __init__(self, cfg=CFG, known=()):
        self.detector = PoisonDetector(cfg)
        self.known = Blocklist(known)
        self.now = 100.0

    def crash(self, target, fingerprints, incarnation=1):
        report = CrashReport(target, self.now, tuple(fingerprints), "chat", incarnation)
        self.detector.add_report(report, self.now)

    def lose_answered(self, target, fingerprints, answered_s=50.0, incarnation=1):
        """Reports a crash of requests that the host has answered."""
        lost = tuple(LostRequest(f, 0.1, answered_s) for f in fingerprints)
        details = CrashDetails(target, incarnation, "chat", 0.05, lost)
        self.detector.add_details(details, self.now)

    def decide(self, wait_s=SETTLED_S):
        self.now += wait_s
        entries = self.detector.due_decisions(self.now, self.known)
        self.known.merge(entries)
        return {entry.fingerprint: entry.state for entry in entries}

    def states(self):
        return {entry.fingerprint: entry.state for entry in self.known.all()}


def test_second_crash_makes_a_suspect_and_third_crash_blocks():
    harness = DetectorHarness()
    harness.crash("t1", "P")
    assert harness.decide() == {}
    harness.crash("t2", "P")
    assert harness.decide() == {"P": ALONE}
    harness.crash("t3", "P")
    assert harness.decide() == {"P": BLOCKED}


def test_an_answered_request_is_blocked_for_a_moment_and_then_for_good():
    harness = DetectorHarness()
    # Clocks that tell the time of day are exact to less than a microsecond.
    harness.now = 1_796_677_781.3
    for target in ("t1", "t2"):
        harness.lose_answered(target, "P")
        assert harness.decide() == {}
    harness.lose_answered("t3", "P")
    assert harness.decide() == {"P": BLOCKED}
    assert harness.known.get("P").until <= harness.now + PROBATION_S
    assert harness.decide(OBJECTION_S / 2) == {}
    assert harness.decide(OBJECTION_S) == {"P": BLOCKED}
    assert harness.known.get("P").until >= harness.now + CFG.block_s
    assert harness.decide() == {}


def test_a_host_that_answered_a_blocked_request_after_its_crashes_may_object():
    harness = DetectorHarness()
    for target in ("t1", "t2", "t3"):
        harness.lose_answered(target, "P")
        harness.decide()
    assert harness.states() == {"P": BLOCKED}
    assert harness.detector.is_justified("P", BLOCKED)
    harness.detector.add_answer("P", harness.now - 2 * SETTLED_S)
    assert not harness.detector.is_justified("P", BLOCKED)
    assert harness.decide(OBJECTION_S + SETTLED_S) == {}


def test_two_answered_requests_that_are_always_lost_together_are_both_blocked():
    harness = DetectorHarness()
    for number in range(4):
        harness.lose_answered(f"t{number}", "PA")
        harness.decide()
    assert harness.states() == {"P": BLOCKED, "A": BLOCKED}
    assert harness.decide(OBJECTION_S) == {"P": BLOCKED, "A": BLOCKED}


def test_answers_broken_off_by_targets_of_unknown_start_block_no_answered_request():
    harness = DetectorHarness()
    for number in range(9):
        harness.lose_answered(f"t{number % 2}", "P", incarnation=0)
        assert harness.decide(1.0) == {}


def test_an_answer_counts_against_earlier_crashes_only():
    harness = DetectorHarness()
    for target in ("t1", "t2"):
        harness.lose_answered(target, "P")
        harness.decide()
    harness.lose_answered("t3", "P", answered_s=0.2)
    assert harness.decide() == {}
    for target in ("t4", "t5"):
        harness.lose_answered(target, "P")
        harness.decide()
    assert harness.states() == {"P": BLOCKED}


def test_requests_lost_with_the_cause_are_not_blocked():
    harness = DetectorHarness()
    for target, lost in (("t1", "PAB"), ("t2", "PBC"), ("t3", "PAD")):
        harness.crash(target, lost)
        harness.decide()
    assert harness.states()["P"] is BLOCKED
    blocked = [f for f, state in harness.states().items() if state is BLOCKED]
    assert blocked == ["P"]


def test_two_requests_always_lost_together_are_both_blocked_eventually():
    harness = DetectorHarness()
    for number in range(4):
        assert BLOCKED not in harness.states().values()
        harness.crash(f"t{number}", "PA")
        harness.decide()
    assert harness.states() == {"P": BLOCKED, "A": BLOCKED}


def test_existing_suspect_counts_after_its_evidence_is_lost():
    earlier = QuarantineEntry("P", ALONE, 90.0, 1000.0)
    harness = DetectorHarness(known=[earlier])
    harness.crash("t3", "PA")
    assert harness.decide() == {"P": BLOCKED}


def test_two_reports_of_one_crash_count_once_however_late():
    harness = DetectorHarness()
    harness.crash("t1", "P")
    harness.decide()
    harness.now += 30.0
    harness.crash("t1", "PA")
    assert harness.decide() == {}
    harness.crash("t1", "P", incarnation=2)
    assert harness.decide() == {"P": ALONE}


def test_late_report_counts_for_fingerprints_that_only_it_contains():
    harness = DetectorHarness()
    harness.crash("t1", "P")
    harness.crash("t2", "A")
    harness.decide()
    harness.crash("t2", "P")
    assert harness.decide() == {"P": ALONE}


def test_later_crash_without_incarnation_counts_as_another_crash():
    harness = DetectorHarness()
    harness.crash("t1", "P", incarnation=0)
    harness.crash("t1", "P", incarnation=0)
    assert harness.decide() == {}
    harness.now += 5.0
    harness.crash("t1", "P", incarnation=0)
    assert harness.decide() == {"P": ALONE}


def test_old_crashes_do_not_count():
    harness = DetectorHarness()
    harness.crash("t1", "P")
    harness.decide()
    harness.now += CFG.evidence_s
    harness.crash("t2", "P")
    assert harness.decide() == {}


@pytest.mark.parametrize("order", [1, -1])
def test_slightly_later_decision_with_less_evidence_does_not_unblock(order):
    blocked = QuarantineEntry("P", BLOCKED, 100.0, 1000.0)
    alone = QuarantineEntry("P", ALONE, 101.0, 1000.0)
    blocklist = Blocklist([blocked, alone][::order])
    assert blocklist.state_of("P", 102.0) is BLOCKED


def test_losses_at_two_incarnations_of_a_target_are_two_crashes():
    reporter = CrashReporter(CFG)
    reporter.request_lost(TargetIncarnation("t1", 1), "chat", "P", 100.0)
    reporter.request_lost(TargetIncarnation("t1", 2), "chat", "P", 100.1)
    reporter.request_lost(TargetIncarnation("t1", 2), "chat", "A", 100.1)
    reports = reporter.due_reports(101.0)
    assert [(r.incarnation, r.fingerprints) for r in reports] == [
        (1, ("P",)),
        (2, ("A", "P")),
    ]


def test_request_that_completed_long_ago_can_be_a_suspect():
    reporter = CrashReporter(CFG)
    reporter.request_completed("P", 100.0)
    reporter.request_lost(TargetIncarnation("t1", 1), "chat", "P", 101.0)
    assert reporter.due_reports(102.0) == []
    later = 101.0 + CFG.evidence_s
    reporter.request_lost(TargetIncarnation("t1", 1), "chat", "P", later)
    assert [report.fingerprints for report in reporter.due_reports(later + 1.0)] == [
        ("P",)
    ]


T1 = TargetIncarnation("t1", 1)


@pytest.mark.parametrize("order", ["request first", "target first"])
def test_unanswered_request_counts_as_lost_when_its_target_disappears(order):
    reporter = CrashReporter(CFG)
    if order == "target first":
        reporter.target_disappeared(T1, 100.0)
    reporter.request_unanswered(T1, "chat", "P", 101.0)
    reporter.request_unanswered(TargetIncarnation("t2", 1), "chat", "A", 101.0)
    if order == "request first":
        reporter.target_disappeared(T1, 104.0)
    assert [(r.target, r.fingerprints) for r in reporter.due_reports(105.0)] == [
        ("t1", ("P",))
    ]
    assert reporter.due_reports(106.0) == []


def test_request_unanswered_long_after_disappearance_is_not_lost():
    reporter = CrashReporter(CFG)
    reporter.target_disappeared(T1, 100.0)
    reporter.request_unanswered(T1, "chat", "P", 100.5 + UNANSWERED_WINDOW_S)
    assert reporter.due_reports(102.0 + UNANSWERED_WINDOW_S) == []


def test_request_unanswered_long_before_disappearance_is_not_lost():
    reporter = CrashReporter(CFG)
    reporter.request_unanswered(T1, "chat", "P", 100.0)
    reporter.target_disappeared(T1, 100.5 + UNANSWERED_WINDOW_S)
    assert reporter.due_reports(101.0 + UNANSWERED_WINDOW_S) == []
