from hypothesis import example, given, settings
from hypothesis import strategies as st

from magnoliaroad.groups import GroupEntry
from magnoliaroad.once import Attempt, Conclusion, Intent, Ledger, StoredAnswer
from magnoliaroad.once.ledger import PendingWrite
from magnoliaroad.once.record import RECORD_KIND, pack_record
from magnoliaroad.verdict import Verdict

INTENT = Intent("arcades", "payouts", "p", "body")
ATTEMPTS = tuple(Attempt(INTENT, name, "host-1") for name in "ABC")
NOT_RUN = Conclusion(Verdict.NOT_RUN)
STEPS = st.lists(
    st.tuples(
        st.sampled_from(
            ("begin", "begin", "kept", "failed", "ends", "lose", "restore")
        ),
        st.integers(0, 2),
        st.sampled_from(Verdict),
    ),
    max_size=25,
)


class OwnerSimulation:
    """A series of owners' ledgers, with writes that are not yet stored."""

    def __init__(self) -> None:
        self.ledger = Ledger()
        self.fence = 1
        self.entries: list[GroupEntry] = []
        self.pending_writes: list[tuple[PendingWrite, bool]] = []
        self.running: set[str] = set()
        self.finished: set[str] = set()

    def begin(self, attempt: Attempt) -> None:
        if attempt.attempt_id in self.finished:
            return
        decision = self.ledger.begin(attempt, 0.0)
        if isinstance(decision, PendingWrite):
            self.pending_writes.append((decision, True))

    def confirm_write(self, index: int) -> None:
        if not self.pending_writes:
            return
        write, is_begin = self.pending_writes.pop(index % len(self.pending_writes))
        self._copy(write)
        if not is_begin:
            self.ledger.apply_finish(write)
        elif self.ledger.may_run(write):
            self._run(write.record.attempt.attempt_id)

    def fail_write(self, index: int, copied: bool) -> None:
        if not self.pending_writes:
            return
        write, is_begin = self.pending_writes.pop(index % len(self.pending_writes))
        if copied:
            self._copy(write)
        if is_begin:
            self.ledger.withdraw(write)

    def finish(self, attempt: Attempt, verdict: Verdict) -> None:
        name = attempt.attempt_id
        if name in self.finished:
            return
        verdict = verdict if name in self.running else Verdict.NOT_RUN
        self.finished.add(name)
        if verdict is Verdict.NOT_RUN:
            self.running.discard(name)
        write = self.ledger.finish(attempt, Conclusion(verdict), 0.0)
        if write is not None:
            self.pending_writes.append((write, False))

    def restore(self) -> None:
        self.fence += 1
        self.pending_writes.clear()
        self.ledger = Ledger()
        self.ledger.restore(self.entries)

    def _copy(self, write: PendingWrite) -> None:
        body = pack_record(write.record)
        entry = GroupEntry(
            "g", RECORD_KIND, write.name, write.sequence, self.fence, body
        )
        places = {(e.sequence, e.fence): e.body for e in self.entries}
        assert places.get((entry.sequence, entry.fence), body) == body
        self.entries.append(entry)

    def _run(self, name: str) -> None:
        if name in self.finished:
            return
        assert self.running <= {name}, f"{name} runs beside {self.running}"
        self.running.add(name)


def steps_of(text):
    verdict = Verdict.MAY_HAVE_RUN
    pairs = (step.split() for step in text.split(","))
    return [(kind, int(number), verdict) for kind, number in pairs]


@settings(max_examples=400, deadline=None, derandomize=True)
@example(steps_of("begin 0,begin 0,kept 1,failed 0,begin 1,kept 0"))
@example(steps_of("begin 0,begin 0,kept 0,failed 0,begin 1,kept 0"))
@example(steps_of("begin 0,failed 0,begin 1,kept 0,begin 0,kept 0"))
@given(STEPS)
def test_no_two_attempts_may_run(steps):
    simulation = OwnerSimulation()
    for kind, number, verdict in steps:
        attempt = ATTEMPTS[number]
        if kind == "begin":
            simulation.begin(attempt)
        elif kind == "kept":
            simulation.confirm_write(number)
        elif kind == "failed":
            simulation.fail_write(number, copied=verdict is Verdict.RAN)
        elif kind == "ends":
            simulation.finish(attempt, verdict)
        elif kind == "lose":
            simulation.ledger.mark_unknown(attempt)
        else:
            simulation.restore()


def test_refusal_after_a_large_answer_contains_its_digest():
    ledger = Ledger()
    ledger.begin(ATTEMPTS[0], 0.0)
    ran = Conclusion(Verdict.RAN, None, "abc123")
    ledger.apply_finish(ledger.finish(ATTEMPTS[0], ran, 1.0))
    refusal = ledger.begin(ATTEMPTS[1], 2.0)
    assert (refusal.code, refusal.verdict) == ("answer_not_kept", Verdict.RAN)
    assert "abc123" in refusal.message


def test_an_intent_is_deleted_after_its_retention():
    ledger = Ledger()
    ledger.begin(ATTEMPTS[0], 10.0)
    ran = Conclusion(Verdict.RAN, StoredAnswer(200, (), b"ok"))
    ledger.apply_finish(ledger.finish(ATTEMPTS[0], ran, 11.0))
    assert ledger.expire(before=10.0) == []
    assert ledger.begin(ATTEMPTS[1], 11.0) == ran.answer
    assert ledger.expire(before=10.5) == [INTENT.name]
    assert len(ledger) == 0


def test_names_of_different_teams_and_routes_never_collide():
    one = Intent("a", "b/c", "d", "")
    two = Intent("a", "b", "c/d", "")
    assert one.name != two.name
