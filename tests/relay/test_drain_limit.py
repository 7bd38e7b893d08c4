"""Which requests still fit into the drain of a host."""

import pytest

from magnoliaroad.drain_limit import (
    ANSWER_MARGIN_S,
    MIN_LIMIT_S,
    STOPPING,
    DrainLimit,
)
from magnoliaroad.refusal import Refused
from magnoliaroad.relay.route_durations import (
    MIN_REQUESTS,
    REMEMBERED,
    RouteDurations,
)

ENDS_AT = 10.0 + 7.6 - ANSWER_MARGIN_S


@pytest.fixture
def draining():
    limit = DrainLimit()
    limit.begin(10.0, notice_s=2.6, limit_s=7.6)
    return limit


def test_a_host_that_does_not_stop_limits_nothing():
    assert DrainLimit().fit(100.0, 1000.0) == 1000.0


def test_requests_that_end_in_time_are_taken(draining):
    assert draining.fit(10.1, 15.1) == 15.1
    assert draining.fit(14.0, 17.0) == 17.0
    assert draining.fit(16.9, ENDS_AT) == ENDS_AT


def test_requests_of_the_notice_are_taken_and_end_with_the_drain(draining):
    assert draining.fit(10.1, 40.1) == ENDS_AT
    assert draining.fit(12.5, 42.5) == ENDS_AT


def test_later_requests_that_may_end_too_late_are_refused(draining):
    for now in (12.6, 14.0, 17.0):
        with pytest.raises(Refused) as caught:
            draining.fit(now, now + 5.0)
        assert caught.value.refusal is STOPPING
        assert caught.value.refusal.retry_after_s


def test_what_is_sent_late_has_the_rest_of_the_drain(draining):
    assert DrainLimit().time_limit_s(16.0, 60.0) == 60.0
    assert draining.time_limit_s(10.0, 5.0) == 5.0
    assert draining.time_limit_s(16.0, 60.0) == pytest.approx(ENDS_AT - 16.0)
    assert draining.time_limit_s(20.0, 60.0) == MIN_LIMIT_S


def test_later_requests_of_a_quick_kind_are_taken(draining):
    assert draining.fit(14.0, 19.0, expected_s=1.0) == ENDS_AT
    with pytest.raises(Refused):
        draining.fit(16.0, 21.0, expected_s=1.0)


def test_a_kind_is_known_by_its_longest_recent_request():
    durations = RouteDurations()
    for _ in range(MIN_REQUESTS - 1):
        durations.record("chat", 0.2)
    assert durations.longest_s("chat") is None
    durations.record("chat", 1.5)
    assert durations.longest_s("chat") == 1.5
    for _ in range(REMEMBERED):
        durations.record("chat", 0.3)
    assert durations.longest_s("chat") == 0.3
    assert durations.longest_s("pay") is None
