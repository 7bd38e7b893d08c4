import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from magnoliaroad.limits.split import Split, adopt_split, even_split
from magnoliaroad.limits.step import Step, timeline
from magnoliaroad.limits.table import Member, ShareTable, TableRevision

PLACES = ["a", "b", "c", "d"]
places = st.sampled_from(PLACES)
steps = st.lists(
    st.one_of(
        st.tuples(st.just("found"), places),
        st.tuples(st.just("adopt"), places),
        st.tuples(st.just("look"), places, places),
        st.tuples(st.just("split"), st.sets(places, min_size=1)),
    ),
    max_size=60,
)


def new_table(place, parts=0.0, split=0):
    holders = TableRevision(1, (Member(f"{place}-1", "run"),), parts)
    return ShareTable(place, holders, split=split)


@settings(max_examples=300, derandomize=True, deadline=None)
@given(steps)
def test_parts_never_add_up_to_more_than_one(steps):
    tables = {"a": new_table("a", 1.0, 1)}
    split = Split(1, {"a": 1.0})
    seen = {place: {} for place in PLACES}
    for step, *args in steps:
        if step == "found":
            tables.setdefault(args[0], new_table(args[0]))
        elif step == "look" and args[1] in tables:
            seen[args[0]][args[1]] = tables[args[1]]
        elif step == "split":
            split = even_split(split, args[0]) or split
        elif step == "adopt" and args[0] in tables:
            own = tables[args[0]]
            known = {**seen[args[0]], args[0]: own}
            tables[args[0]] = adopt_split(own, split, known) or own
        assert sum(table.current.parts for table in tables.values()) <= 1 + 1e-9


def test_all_adopt_a_split_in_two_rounds():
    tables = {"a": new_table("a", 1.0, 1), "b": new_table("b")}
    split = even_split(Split(1, {"a": 1.0}), tables)
    for _ in range(2):
        for place in PLACES[:2]:
            tables[place] = adopt_split(tables[place], split, tables) or tables[place]
    assert {table.current.parts for table in tables.values()} == {0.5}


@pytest.mark.parametrize(
    ("steps", "at", "expected"),
    [
        ([Step(0.0, 0.5)], 9.9, 0.0),
        ([Step(0.0, 0.5)], 10.0, 0.5),
        ([Step(0.0, 0.5), Step(20.0, 0.2)], 20.0, 0.2),
        ([Step(0.0, 0.5), Step(20.0, 0.0), Step(21.0, 0.5)], 30.9, 0.0),
        ([Step(0.0, 0.5), Step(20.0, 1.0, stopped=True)], 20.0, 1.0),
        ([Step(0.0, 0.5), Step(20.0, 0.8), Step(21.0, 1.0, stopped=True)], 21.0, 0.5),
        ([Step(0.0, 0.5), Step(20.0, 0.5), Step(21.0, 1.0, stopped=True)], 21.0, 0.5),
        ([Step(0.0, 0.5), Step(20.0, 0.8, known_at=22.0)], 22.0, 0.8),
    ],
)
def test_losses_count_at_once_and_gains_later(steps, at, expected):
    segments = timeline(steps, gain_delay_s=10.0, is_founder=False)
    usable = [segment.fraction for segment in segments if segment.start <= at]
    assert (usable[-1] if usable else 0.0) == pytest.approx(expected)
