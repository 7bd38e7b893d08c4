"""Limits that targets state, and the buckets that keep them."""

import pytest

from magnoliaroad.relay.target import RelayTarget, TargetState
from magnoliaroad.relay.target_limit import (
    FIRST_TRY,
    FURTHER_TRY,
    PROMPT_HELD,
    RETENTION_S,
    TargetBucket,
    TargetLimits,
)
from magnoliaroad.relay.target_table import TargetTable

TARGET = RelayTarget("i-1", "lm", "127.0.0.1:1", "dc-1", 8, TargetState.READY, 1000)
RATE = 10.0


def other(name, **changes):
    return TARGET._replace(name=name, **changes)


def test_an_answer_without_a_limit_ends_it_unless_its_request_is_older():
    limits = TargetLimits()
    assert not limits.record(TARGET, None, 1.0)
    assert limits.record(TARGET, 5.0, 2.0)
    assert not limits.record(TARGET, None, 1.9)
    assert limits.is_limited(TARGET)
    assert limits.record(TARGET, None, 2.1)
    assert not limits.is_limited(TARGET)


def test_the_newest_limit_of_a_target_counts():
    limits = TargetLimits()
    limits.record(TARGET, 5.0, 2.0)
    assert not limits.record(TARGET, 5.0, 3.0)
    assert limits.record(TARGET, 4.0, 4.0)
    assert not limits.record(TARGET, 9.0, 3.5)
    assert limits.find(TARGET) == (4.0, 4.0)


def test_a_later_start_of_a_target_has_no_limit():
    limits = TargetLimits()
    limits.record(TARGET, 5.0, 2.0)
    assert not limits.is_limited(TARGET._replace(started_ms=2000))


def test_the_limit_of_a_target_that_is_gone_is_dropped_later():
    limits = TargetLimits()
    limits.record(TARGET, 5.0, 2.0)
    limits.sweep(2.0 + RETENTION_S - 1.0, {})
    assert limits.is_limited(TARGET)
    limits.sweep(2.0 + RETENTION_S + 1.0, {"i-1"})
    assert limits.is_limited(TARGET)
    limits.sweep(2.0 + RETENTION_S + 1.0, {})
    assert not limits.is_limited(TARGET)


@pytest.mark.parametrize("rate", [0.25, 1.0, 5.3, 40.0])
@pytest.mark.parametrize("longest_wait_s", [0.0, 0.4])
def test_a_bucket_admits_its_rate_in_any_window(rate, longest_wait_s):
    bucket, sent_at, now = TargetBucket(0.0), [], 0.0
    while now < 20.0:
        # Bursts after pauses, more than the rate on average.
        for _ in range(3):
            decision = bucket.take(now, rate, PROMPT_HELD, longest_wait_s)
            if decision.admitted:
                sent_at.append(now + decision.wait_s)
        now += 0.05 if now % 3.0 < 2.0 else 1.0
    assert len(sent_at) >= 0.6 * rate * 20.0 - 1
    for begins in sent_at:
        assert sum(begins <= at < begins + 4.0 for at in sent_at) <= 6.0 * rate + 5.0


def test_waiting_requests_are_sent_in_the_order_of_their_arrival():
    bucket = TargetBucket(0.0)
    waits = [bucket.take(0.0, RATE, PROMPT_HELD, 0.35) for _ in range(5)]
    assert [decision.admitted for decision in waits] == [True] * 3 + [False] * 2
    assert [round(decision.wait_s, 3) for decision in waits[:3]] == [0.1, 0.2, 0.3]


def test_the_last_tokens_go_to_those_who_gain_most():
    bucket = TargetBucket(0.0)
    taken = {}
    for part in (FURTHER_TRY, FIRST_TRY, PROMPT_HELD):
        taken[part] = 0
        while bucket.take(1.0, RATE, part).admitted:
            taken[part] += 1
    assert taken == {FURTHER_TRY: 2, FIRST_TRY: 3, PROMPT_HELD: 5}


def test_a_target_that_takes_the_requests_of_limited_ones_does_not_look_slow():
    """Day capped: the only target without a limit was left out, and callers refused."""
    table = TargetTable()
    names = ["i-1", "i-2", "i-3", "i-4"]
    for name in names:
        table.set(other(name))
        table.record_event_gap(name, 0.01, 1.0)
    table.record_event_gap("i-4", 1.0, 1.0)
    assert [t.name for t in table.usable("lm", 1.0)] == names[:3]
    for name in names[:3]:
        table.limits.record(other(name), RATE, 1.0)
    assert [t.name for t in table.usable("lm", 1.0)] == names
