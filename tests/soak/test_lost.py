"""Which requests the soak takes for lost."""

import math
import time
from types import SimpleNamespace

import pytest

from tests.soak.fleet import DRAIN_LIMIT_S, REJOIN_S
from tests.soak.lost import LOSS_SLACK_S, find_losses
from tests.soak.slow_callers import ENDED_BEFORE, LARGE_LIMIT_S, Exchange, Request
from tests.soak.spans import Span, Spans

RESET = "ConnectionResetError"


def spans(*pairs):
    """Returns spans with these begins and ends."""
    result = Spans()
    for begin, end in pairs:
        span = Span()
        span.begin, span.end = begin, end
        result.items.append(span)
    return result


@pytest.fixture
def host():
    return SimpleNamespace(
        name="relay-0", disruptions=spans(), stops=spans(), target_cuts=spans()
    )


@pytest.fixture
def target():
    return SimpleNamespace(runs=[], broke_off=set())


@pytest.fixture
def fleet(target):
    return SimpleNamespace(
        targets=[target],
        former_targets=[],
        relay_hosts=[],
        store_disruptions=spans(),
    )


def run(target):
    """Has the target run the request."""
    headers = {"magnoliaroad-request-id": "c-1"}
    target.runs.append(("GET", "/safe/x", headers, b""))


def exchange(host, took_s=0.1, received=0, end=RESET, is_fresh=False, followed=False):
    """Returns an exchange that was sent at 100 s."""
    request = Request("c-1", "/safe/x", b"", host, LARGE_LIMIT_S, is_fresh)
    return Exchange(request, 100.0, 100.0, 100.0 + took_s, received, end, followed)


def counts(fleet, exchange):
    lost, crossed = find_losses(fleet, [exchange])
    return len(lost), len(crossed)


LOST, CROSSED, ALLOWED = (1, 0), (0, 1), (0, 0)


@pytest.mark.parametrize("stop", [None, (99.0, 101.0), (99.0, math.inf)])
@pytest.mark.parametrize("received", [0, 500])
def test_a_request_that_was_passed_on_and_has_no_whole_answer_is_lost(
    fleet, host, target, stop, received
):
    run(target)
    host.stops = spans(stop) if stop else spans()
    assert counts(fleet, exchange(host, received=received)) == LOST


def test_a_message_tells_where_a_request_was_lost(fleet, host, target):
    run(target)
    host.stops = spans((99.0, 101.0))
    (message,) = find_losses(fleet, [exchange(host, 0.25, 500)]).lost
    assert message == (
        f"c-1 /safe/x: {RESET} at relay-0 after 0.25 s and 500 bytes; passed on,"
        " sent 1.00 s after SIGTERM"
    )


def test_what_a_target_broke_off_is_not_lost(fleet, host, target):
    run(target)
    target.broke_off.add("c-1")
    assert counts(fleet, exchange(host)) == ALLOWED


@pytest.mark.parametrize("begin", [100.05, 99.0, 95.0])
def test_a_disruption_excuses_a_request_within_its_time(fleet, host, target, begin):
    run(target)
    disrupted = spans((begin, begin + 0.5))
    expected = LOST if begin + 0.5 < 100.0 - REJOIN_S else ALLOWED
    host.disruptions = disrupted
    assert counts(fleet, exchange(host)) == expected
    host.disruptions, fleet.store_disruptions = spans(), disrupted
    assert counts(fleet, exchange(host)) == expected


def test_only_what_the_limit_of_a_drain_cuts_is_excused(fleet, host, target):
    run(target)
    host.stops = spans((99.0, 99.0 + DRAIN_LIMIT_S))
    late_s = DRAIN_LIMIT_S - 1.0
    cut = exchange(host, late_s, 500)
    request = cut.request._replace(limit_s=100.0)
    assert counts(fleet, cut._replace(request=request)) == ALLOWED
    assert counts(fleet, exchange(host, late_s - 1.0, 500)) == LOST


@pytest.mark.parametrize(
    ("path", "received", "expected"),
    [("/plan/x", 500, ALLOWED), ("/safe/x", 0, ALLOWED), ("/safe/x", 500, LOST)],
)
def test_the_time_limit_excuses_a_host_until_an_answer_is_ready(
    fleet, host, target, path, received, expected
):
    run(target)
    late = exchange(host, LARGE_LIMIT_S, received)
    request = late.request._replace(path=path)
    assert counts(fleet, late._replace(request=request)) == expected


@pytest.mark.parametrize(
    ("is_fresh", "stop", "expected"),
    [
        # Connections in the kernel's queue were reset when a host stopped listening.
        (True, (99.0, 101.0), LOST),
        (True, None, LOST),
        (False, (99.0, 101.0), CROSSED),
        (False, None, LOST),
    ],
)
def test_a_request_that_no_target_got_may_cross_the_close_of_its_connection(
    fleet, host, is_fresh, stop, expected
):
    host.stops = spans(stop) if stop else spans()
    assert counts(fleet, exchange(host, is_fresh=is_fresh)) == expected


def test_a_close_that_comes_later_did_not_cross_the_request(fleet, host):
    host.stops = spans((99.0, 102.0))
    late = exchange(host, LOSS_SLACK_S + 0.1)
    assert counts(fleet, late) == LOST
    assert counts(fleet, late._replace(followed=True)) == CROSSED
    assert counts(fleet, late._replace(followed=True, received=1)) == LOST


def test_an_end_with_the_answer_before_excuses_only_a_request_that_did_not_run(
    fleet, host, target
):
    assert counts(fleet, exchange(host, end=ENDED_BEFORE)) == ALLOWED
    run(target)
    assert counts(fleet, exchange(host, end=ENDED_BEFORE)) == LOST


@pytest.mark.parametrize(("received", "expected"), [(0, LOST), (500, ALLOWED)])
def test_a_caller_that_leaves_has_lost_its_request_without_any_answer(
    fleet, host, received, expected
):
    assert counts(fleet, exchange(host, 7.0, received, end="")) == expected


def test_spans_overlap_those_that_have_a_part_in_common():
    now = time.monotonic()
    recorded = Spans()
    with recorded.span() as span:
        assert span.is_open
        assert recorded.overlap(now + 1.0, now + 2.0)
    assert not span.is_open
    assert not recorded.overlap(span.end + 0.1, now + 2.0)
    assert not recorded.overlap(now - 2.0, now - 1.0)


def test_a_cut_of_the_path_to_the_targets_breaks_off_what_is_under_way(
    fleet, host, target
):
    """Seed 8026: a cut by reset broke a stream off that a sound target was sending."""
    run(target)
    assert counts(fleet, exchange(host)) == (1, 0)
    host.target_cuts = spans((99.0, 103.0))
    assert counts(fleet, exchange(host)) == (0, 0)
    host.target_cuts = spans((90.0, 99.0 - REJOIN_S))
    assert counts(fleet, exchange(host)) == (1, 0)


def test_what_a_peer_sends_during_a_cut_is_lost_unless_it_is_disrupted(
    fleet, host, target
):
    """Seed 8028 is to be found, and seed 8010, where the peer was killed, is not."""
    run(target)
    host.target_cuts = spans((90.0, 105.0))
    assert counts(fleet, exchange(host)) == (1, 0)
    peer = SimpleNamespace(
        disruptions=spans((99.5, 101.0)), stops=spans(), target_cuts=spans()
    )
    fleet.relay_hosts.append(peer)
    assert counts(fleet, exchange(host)) == (0, 0)
