"""What the model learns from streams and turns."""

import pytest

from magnoliaroad.relay.dialect import TargetLoad
from magnoliaroad.relay.target import RelayTarget, TargetState, start_of
from magnoliaroad.relay.target_table import TargetTable
from magnoliaroad.target_model.model import TargetModel
from magnoliaroad.target_model.pace import MAX_SAMPLES
from magnoliaroad.target_model.settings import PlacementSettings
from magnoliaroad.target_model.stream_pace import SLOW_CALLER_S, StreamPace

TARGET = RelayTarget("i-1", "lm", "10.0.0.1:80", "dc-1", 8, TargetState.READY, 1)


@pytest.fixture
def model():
    table = TargetTable()
    table.set(TARGET)
    return TargetModel(PlacementSettings(), table, lambda name: None)


def stream(model, began, gap_s, events=20, slow_after=None, prompt_tokens=0):
    """Plays a stream with an event each ``gap_s``; returns its end."""
    pace, at = StreamPace(model, TARGET, began, prompt_tokens), began
    for count in range(1, events + 1):
        at += gap_s
        slow = slow_after is not None and count > slow_after
        pace.record(count, at, at + (10 * SLOW_CALLER_S if slow else 0.0))
        at += 10 * SLOW_CALLER_S if slow else 0.0
    pace.end(at)
    return at


def pace_of(model, now):
    return model.paces.find(start_of(TARGET), now)


def learn(model, turns=MAX_SAMPLES):
    now = 0.0
    for _ in range(turns):
        now = stream(model, now, 0.01)
    return now


def test_a_slowdown_that_begins_within_a_stream_changes_the_pace_little(model):
    """Guards against one stream that outweighs all before it.

    A target states its slowdown at the start of an answer only, so all events of a
    stream may lack the same slowdown.
    """
    now = learn(model)
    now = stream(model, now, 0.025)
    assert pace_of(model, now) == pytest.approx(0.01, rel=0.05)


def test_a_stated_slowdown_is_divided_out(model):
    now = 0.0
    for _ in range(4):
        model.record_load(TARGET, TargetLoad(1, 0, 8, 2.5), now)
        now = stream(model, now, 0.025, events=8)
    assert pace_of(model, now) == pytest.approx(0.01)


def test_a_caller_that_reads_slowly_does_not_make_its_target_slow(model):
    now = learn(model)
    for _ in range(20):
        now = stream(model, now, 0.01, slow_after=10)
    assert pace_of(model, now) == pytest.approx(0.01)


def test_streams_of_a_single_event_teach_no_pace(model):
    stream(model, 0.0, 0.01, events=1)
    stream(model, 0.0, 0.01, events=1)
    assert pace_of(model, 0.1) is None


def test_routes_of_one_service_differ_in_the_length_of_their_turns(model):
    """Guards against short turns that are expected to take as long as long ones."""
    now = learn(model)
    for _ in range(10):
        model.record_turn("lm", "short", 10, 100, 0.0, 0.1)
        model.record_turn("lm", "long", 200, 100, 0.0, 2.0)
    ends = [
        model.candidates([TARGET], route, "dc-1", 0, now)[0].turn_s
        for route in ("short", "long", "other")
    ]
    assert ends[0] == pytest.approx(0.1)
    assert ends[1] == pytest.approx(2.0)
    assert 0.1 < ends[2] < 2.0


def test_answers_without_events_count_as_no_turn(model):
    """Guards against an expected time of nothing."""
    now = learn(model)
    model.record_turn("lm", "r", 0, 100, 0.0, 0.1)
    assert not model.candidates([TARGET], "r", "dc-1", 0, now)


def test_loads_of_services_that_state_no_slowdown_are_not_kept(model):
    """Guards against a cost for deployments that do not use the model."""
    model.record_load(TARGET, TargetLoad(7, 0, 8), 0.0)
    assert model.loads_of([TARGET], 0.0) == [(0.0, 8)]
    model.record_load(TARGET, TargetLoad(7, 0, 8, 1.0), 0.0)
    assert model.loads_of([TARGET], 0.0) == [(7.0, 8)]


def test_a_peer_is_told_what_was_learnt_and_a_new_host_everything(model):
    now = learn(model, turns=4)
    assert [pace[0] for pace in model.report(now).paces] == ["i-1"]
    later = now + 10.0
    assert not model.report(later).paces
    model.merge(model.report_all(later), later)
    assert not model.report(later).paces


def test_the_time_for_a_prompt_follows_its_tokens(model):
    """Guards against programs with long prompts that move as if they had short ones."""
    now = learn(model)
    model.record_turn("lm", "r", 20, 100, 0.0, 0.2)
    for _ in range(10):
        now = stream(model, now, 0.01, prompt_tokens=100)

    def prompt_s(tokens):
        return model.candidates([TARGET], "r", "dc-1", tokens, now)[0].prompt_s

    assert prompt_s(100) == pytest.approx(0.01)
    assert prompt_s(10_000) == pytest.approx(1.0)
    assert prompt_s(0) == pytest.approx(0.33 * 0.2)


def test_a_prompt_that_has_waited_counts_little(model):
    now = learn(model)
    model.record_turn("lm", "r", 20, 100, 0.0, 0.2)
    model.record_prompt(TARGET, 100, 0.01, now)
    model.record_prompt(TARGET, 100, 10.0, now)
    model._table.record_start("i-1")
    model.record_load(TARGET, TargetLoad(9, 3, 8, 1.0), now)
    model.record_prompt(TARGET, 100, 10.0, now)
    prompt_s = model.candidates([TARGET], "r", "dc-1", 100, now)[0].prompt_s
    assert prompt_s < 0.012
