"""What the soak's callers find wrong with resumable streams."""

import pytest

from tests.soak.callers import EVENTS_PER_STREAM, stream_problem, whole_events


def event(number, suffix=""):
    return f"id: {number}\ndata: word{number}{suffix}"


def stream(*suffixes):
    return [event(number, suffix) for number, suffix in enumerate(suffixes, 1)]


@pytest.mark.parametrize("suffix", ["", "-v2"])
def test_a_stream_of_one_version_has_no_problem(suffix):
    suffixes = [suffix] * EVENTS_PER_STREAM
    assert stream_problem(stream(*suffixes), complete=True) == ""
    assert stream_problem(stream(suffix, suffix), complete=False) == ""
    assert stream_problem([], complete=False) == ""


@pytest.mark.parametrize(
    ("events", "complete", "problem"),
    [
        (stream("", "", "-v2"), False, "two versions"),
        (stream("-v2", ""), False, "two versions"),
        ([event(1), event(3)], False, "events [1, 3]"),
        ([event(1), event(1), event(2)], False, "events [1, 1, 2]"),
        ([event(2), event(3)], False, "events [2, 3]"),
        (stream("", ""), True, "complete with 2 events"),
        ([event(1, "-v3")], False, "unknown event"),
        (["id: 1\ndata: word2"], False, "unknown event"),
    ],
)
def test_a_problem_of_a_stream_is_found(events, complete, problem):
    assert problem in stream_problem(events, complete)


def test_an_incomplete_event_is_left_out():
    received = f"{event(1)}\n\n{event(2)}\n".encode()
    assert whole_events(received) == [event(1)]
