import json

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from magnoliaroad.quarantine import (
    Blocklist,
    QuarantineEntry,
    QuarantineState,
    fingerprint_of,
)

BASE = {"id": "req-1", "messages": [{"role": "user", "content": "Plan a week."}]}
ALIKE = [
    BASE | {"id": "req-2"},
    {"messages": [{"content": "Plan  a week.\n", "role": "user"}], "id": ""},
]
DIFFERENT = [
    BASE | {"messages": [{"role": "user", "content": "Plan a month."}]},
    BASE | {"rupees": 500},
]
TEXTS = [
    (
        "call 3f2b8c1e-0d7a-4b5e-9c11-1234567890ab",
        "call 00000000-0000-4000-8000-000000000000",
    ),
    ("at 2026-03-04T18:30:00Z", "at 2027-11-30T01:02:03Z"),
    ("order 1234567", "order 7654321"),
    ("trace 9f86d081884c7d65", "trace 2c26b46b68ffc68f"),
]


def digest(content):
    return fingerprint_of("planner", json.dumps(content).encode())


@pytest.mark.parametrize("other", ALIKE)
def test_ids_times_and_spaces_make_no_difference(other):
    assert digest(BASE) == digest(other)


@pytest.mark.parametrize("other", DIFFERENT)
def test_other_content_makes_a_difference(other):
    assert digest(BASE) != digest(other)


@pytest.mark.parametrize(("one", "other"), TEXTS)
def test_ids_and_times_in_texts_make_no_difference(one, other):
    assert digest({"text": one}) == digest({"text": other})
    assert digest({"text": one}) != digest({"text": "match " + one})


def test_numbers_that_mean_something_make_a_difference():
    assert digest({"rupees": 500}) != digest({"rupees": 700})
    assert digest({"at": 1764809280.5}) == digest({"at": 1764809999.0})


def test_long_history_is_fingerprinted_by_its_end():
    history = [{"role": "user", "content": f"turn {n} " * 500} for n in range(99)]
    assert fingerprint_of("m", history) == fingerprint_of("m", history[1:])
    assert fingerprint_of("m", history) != fingerprint_of("m", history[:-1])


ENTRIES = st.lists(
    st.builds(
        QuarantineEntry,
        st.sampled_from("PQ"),
        st.sampled_from(QuarantineState),
        st.integers(0, 3),
        st.just(10.0),
    ),
    max_size=6,
)


@settings(derandomize=True)
@given(ENTRIES, st.randoms(use_true_random=False))
def test_merge_order_of_decisions_does_not_matter(entries, random):
    shuffled = entries * 2
    random.shuffle(shuffled)
    assert Blocklist(entries).all() == Blocklist(shuffled).all()
