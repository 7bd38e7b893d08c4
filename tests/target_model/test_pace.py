"""How the pace of targets is learnt."""

import pytest

from magnoliaroad.relay.target import TargetStart
from magnoliaroad.target_model.pace import LIFETIME_S, EventTimes, PaceTable

SLOW, FAST = TargetStart("i-slow", 1), TargetStart("i-fast", 1)


@pytest.fixture
def paces():
    return PaceTable()


def test_a_slow_machine_is_told_from_a_fast_one(paces):
    for step in range(8):
        paces.record(SLOW, 0.1, step)
        paces.record(FAST, 0.05, step)
    assert paces.find(SLOW, 8.0) == pytest.approx(0.1)
    assert paces.find(FAST, 8.0) == pytest.approx(0.05)


def test_one_sample_moves_an_estimate_little(paces):
    for step in range(8):
        paces.record(FAST, 0.05, step)
    paces.record(FAST, 5.0, 8.0)
    assert paces.find(FAST, 8.0) < 0.053


def test_a_stated_slowdown_is_not_taken_for_a_slow_machine(paces):
    for step in range(16):
        slowed = step % 2 == 0
        times = EventTimes()
        times.add(1.25 if slowed else 0.5, 10, 2.5 if slowed else 1.0)
        paces.record(FAST, times.mean_s, step)
    assert paces.find(FAST, 16.0) == pytest.approx(0.05)


def test_a_machine_that_stays_slow_is_recognized(paces):
    for step in range(16):
        paces.record(FAST, 0.05, step)
    for step in range(16, 56):
        paces.record(FAST, 0.1, step)
    assert paces.find(FAST, 56.0) > 0.085


def test_estimates_without_news_are_dropped(paces):
    paces.record(FAST, 0.05, 0.0)
    paces.record(FAST, 0.05, 1.0)
    assert paces.find(FAST, 1.0 + LIFETIME_S) == pytest.approx(0.05)
    assert paces.find(FAST, 1.1 + LIFETIME_S) is None
    paces.sweep(1.1 + LIFETIME_S, {"i-fast"})
    assert len(paces) == 0


def test_a_new_start_has_no_pace_of_the_one_before(paces):
    for step in range(4):
        paces.record(FAST, 0.05, step)
    assert paces.find(TargetStart("i-fast", 2), 4.0) is None


def test_estimates_of_peers_count_by_their_samples(paces):
    paces.record(FAST, 0.1, 0.0)
    paces.merge(FAST, 0.05, 9, 0.0)
    assert paces.find(FAST, 0.0) == pytest.approx(0.055)


def test_estimates_that_only_peers_have_told_are_not_told_on(paces):
    """Guards against an estimate that goes round between hosts and is never dropped."""
    paces.merge(FAST, 0.05, 9, 0.0)
    paces.record(SLOW, 0.1, 0.0)
    paces.merge(SLOW, 0.1, 9, 10.0)
    assert [start for start, _ in paces.recent(0.0, 1.5)] == [SLOW]
    assert not paces.recent(10.0, 1.5)
    assert len(paces.known(10.0)) == 2
