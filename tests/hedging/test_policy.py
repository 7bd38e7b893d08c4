"""Which requests get a second attempt, and how much extra work that makes."""

import random

import pytest

from magnoliaroad.hedging.policy import HedgePolicy, HedgeTarget
from magnoliaroad.hedging.settings import HedgingSettings
from magnoliaroad.relay.route import RelayRoute, ServiceWeight
from magnoliaroad.relay.route_kind import RouteKind

SPARE = HedgeTarget(0.0, 8)


def route(kind=RouteKind.SAFE, attempts=2, **changes):
    base = RelayRoute("r", "h", "/", kind, 2.0, 0.25, 0, (ServiceWeight("app", 1.0),))
    return base._replace(attempts=attempts, **changes)


def policy(extra_share=0.05, max_per_s=1000.0, hosts=1):
    return HedgePolicy(HedgingSettings(extra_share, max_per_s), lambda: hosts)


@pytest.mark.parametrize(
    ("changes", "expected"),
    [
        ({}, True),
        ({"attempts": 1}, False),
        ({"kind": RouteKind.UNSAFE}, False),
        ({"kind": RouteKind.STREAM}, False),
        ({"kind": RouteKind.STREAM, "resumable": True}, True),
        ({"kind": RouteKind.STREAM, "resumable": True, "keeps_turns": True}, False),
    ],
)
def test_only_what_may_be_repeated_gets_a_second_attempt(changes, expected):
    assert policy().may_hedge(route(**changes), 0) is expected


def test_attempts_before_count_against_the_limit_of_the_route():
    assert not policy().may_hedge(route(attempts=2), 1)
    assert policy().may_hedge(route(attempts=3), 1)


def test_without_the_setting_there_are_no_second_attempts():
    assert not policy(extra_share=0.0).may_hedge(route(), 0)


def test_the_age_follows_what_answers_of_the_route_take():
    hedging = policy()
    assert hedging.age_s(route()) is None
    for number in range(200):
        hedging.times.record("r", 0.02 if number % 25 else 0.5)
    assert hedging.age_s(route()) == pytest.approx(0.02)
    for _ in range(200):
        hedging.times.record("r", 0.1)
    assert hedging.age_s(route()) == pytest.approx(0.1)


def test_a_crowded_target_gets_no_second_attempts():
    hedging = policy(extra_share=1.0)
    hedging.record_request("app", 0.0)
    assert not hedging.take("app", HedgeTarget(4.0, 8), 1.0)
    assert hedging.take("app", HedgeTarget(3.0, 8), 1.0)


def test_a_service_that_is_slow_for_all_gets_no_more_than_the_budget():
    """Guards against second attempts that double the load of a slow service."""
    hedging, taken = policy(), 0
    for number in range(2000):
        hedging.record_request("app", number * 0.01)
        taken += hedging.take("app", SPARE, number * 0.01)
    assert taken <= 0.05 * 2000


def test_the_cap_holds_over_all_hosts():
    hosts = [policy(extra_share=1.0, max_per_s=10.0, hosts=20) for _ in range(20)]
    taken = 0
    for step in range(200):
        for hedging in hosts:
            hedging.record_request("app", step * 0.05)
            taken += hedging.take("app", SPARE, step * 0.05)
    assert 80 <= taken <= 100 + len(hosts)


def replay(hedged, seed=7):
    """Plays answers of which one in thirty meets a slow moment of its target.

    Returns:
        The time of each request, in order, and the number of second attempts.
    """
    rng, hedging, times, seconds = random.Random(seed), policy(), [], 0

    def answer_s():
        usual_s = rng.uniform(0.02, 0.04)
        return 10 * usual_s if rng.random() < 1 / 30 else usual_s

    for number in range(3000):
        now, first_s = number * 0.05, answer_s()
        hedging.record_request("app", now)
        age_s = hedging.age_s(route())
        took_s = first_s
        late = hedged and age_s is not None and first_s > age_s
        if late and hedging.take("app", SPARE, now):
            seconds += 1
            took_s = min(first_s, age_s + answer_s())
        times.append(took_s)
        hedging.times.record("r", took_s)
    return sorted(times), seconds


def test_the_slowest_answers_are_cut_within_the_budget():
    """Guards against a few slow targets that decide the worst answers of a route."""
    without, _ = replay(hedged=False)
    times, seconds = replay(hedged=True)
    p98 = int(0.98 * len(times))
    assert times[p98] < 0.5 * without[p98]
    assert times[len(times) // 2] == pytest.approx(without[len(times) // 2], rel=0.1)
    assert seconds <= 0.05 * len(times)
