"""Targets that announce in an answer that they leave get no further requests."""

from hypothesis import given
from hypothesis import strategies as st

from magnoliaroad.relay.leaving import MARK_RETENTION_S, LeavingTargets
from magnoliaroad.relay.target import RelayTarget, TargetStart, TargetState
from magnoliaroad.relay.target_table import TargetTable


def target(name, started_ms=1, state=TargetState.READY):
    return RelayTarget(name, "lm", "10.0.0.1:80", "dc-1", 8, state, started_ms)


def usable(table, now=0.0):
    return sorted(target.name for target in table.usable("lm", now))


def test_a_leaving_target_gets_no_requests_although_its_entry_is_ready():
    table = TargetTable()
    table.set(target("a"))
    table.set(target("b"))
    assert table.leaving.mark(target("a"), 0.0)
    assert not table.leaving.mark(target("a"), 1.0)
    table.set(target("a"))
    assert usable(table) == ["b"]


def test_a_new_incarnation_with_the_same_id_is_used():
    table = TargetTable()
    table.set(target("a", started_ms=1))
    table.leaving.mark(target("a", started_ms=1), 0.0)
    table.set(target("a", started_ms=2))
    assert usable(table) == ["a"]


def test_if_all_targets_leave_none_is_used():
    table = TargetTable()
    table.set(target("a"))
    table.record_failure("a", 0.0, 0.5, 4.0)
    table.leaving.mark(target("a"), 0.0)
    assert usable(table) == []


def test_a_mark_is_kept_while_an_entry_expires_and_returns():
    table = TargetTable()
    table.set(target("a"))
    table.leaving.mark(target("a"), 0.0)
    table.remove("a")
    table.leaving.sweep(MARK_RETENTION_S - 1.0, table.targets)
    table.set(target("a"))
    assert usable(table) == []
    table.leaving.sweep(MARK_RETENTION_S, table.targets)
    table.remove("a")
    table.leaving.sweep(2 * MARK_RETENTION_S + 1.0, table.targets)
    assert table.leaving.marked() == []


def test_marks_of_peers_are_merged():
    here, there = LeavingTargets(), LeavingTargets()
    here.mark(target("a", started_ms=7), 0.0)
    assert there.mark_all([["a", 7]], 0.0) == 1
    assert there.mark_all(here.marked(), 0.0) == 0
    assert target("a", started_ms=7) in there
    assert there.marked() == [TargetStart("a", 7)]


STEPS = st.lists(
    st.tuples(
        st.sampled_from(["mark", "set", "drop", "fail", "answer", "event", "sweep"]),
        st.sampled_from("abc"),
        st.floats(0.0, 3.0),
    ),
    max_size=60,
)


@given(STEPS)
def test_no_schedule_makes_a_marked_target_usable(steps):
    table, marked, now = TargetTable(), set(), 0.0
    for act, name, elapsed_s in steps:
        now += elapsed_s
        if act == "mark":
            table.leaving.mark(target(name), now)
            marked.add(name)
        elif act == "set":
            table.set(target(name))
        elif act == "drop":
            table.remove(name)
        elif act == "fail":
            table.record_failure(name, now, 0.5, 4.0)
        elif act == "answer":
            table.record_success(name)
        elif act == "event":
            table.record_event_gap(name, elapsed_s, now)
        else:
            table.leaving.sweep(now, table.targets)
        if now < MARK_RETENTION_S:
            assert not marked & set(usable(table, now))
