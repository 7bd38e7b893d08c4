"""The order in which requests go on that wait for room."""

import random

import pytest

from magnoliaroad.relay.plan import RelayTeam
from magnoliaroad.relay.route import RelayRoute, ServiceWeight
from magnoliaroad.relay.route_kind import RouteKind
from magnoliaroad.waiting.admission import (
    MAX_RETURN_S,
    MIN_RETURN_S,
    RETURNED_PART,
    SUSTAINED_S,
    ProgramAdmission,
    return_after_s,
)
from magnoliaroad.waiting.room_queue import MAX_PAUSE_S, MIN_PAUSE_S, RoomQueue
from magnoliaroad.waiting.standing import Standing, rank_of


def standing(rank=1, slack_s=0.5, has_begun=True):
    return Standing(rank, slack_s, has_begun)


def order_of(requests):
    """Returns the names of (name, team, standing, since) in the order of waking."""
    queue = RoomQueue()
    for request in requests:
        queue.add(*request)
    return [queue.take_next() for _ in requests]


def test_a_higher_rank_goes_first_then_the_one_with_less_slack():
    requests = [
        ("slack", "t", standing(slack_s=0.9), 0.0),
        ("rank-0", "t", standing(rank=0, slack_s=0.9), 0.2),
        ("urgent", "t", standing(slack_s=0.1), 0.1),
        ("rank-2", "t", standing(rank=2, slack_s=0.0), 0.0),
    ]
    assert order_of(requests) == ["rank-0", "urgent", "slack", "rank-2"]


def test_a_program_that_has_begun_goes_before_a_first_turn():
    requests = [
        ("first", "t", standing(has_begun=False), 0.0),
        ("later", "t", standing(), 0.2),
    ]
    assert order_of(requests) == ["later", "first"]


def test_a_lower_rank_does_not_starve():
    """Guards against requests that wait forever behind a stream of a higher rank."""
    queue = RoomQueue()
    queue.add("low", "t", standing(rank=2), 0.0)
    now, woken = 0.0, None
    for number in range(1000):
        now += 0.02
        queue.add(f"high-{number}", "t", standing(rank=0), now)
        woken = queue.take_next()
        if woken == "low":
            break
    assert woken == "low"
    assert now < 6.0


def test_a_team_that_sends_many_times_its_usual_takes_a_fair_part():
    """Guards against one team at six times the others' load that takes their room."""
    queue, taken = RoomQueue(), []
    for number in range(60):
        queue.add(f"hot-{number}", "hot", standing(), 0.001 * number)
    for number in range(10):
        queue.add(f"calm-{number}", "calm", standing(), 0.06 + 0.001 * number)
    for _ in range(30):
        taken.append(queue.take_next().partition("-")[0])
    assert taken.count("calm") == 10


def test_a_rank_holds_between_teams():
    """Guards against a team of a higher rank that goes behind a lower one.

    The share of a team was weighed before the rank once it was some requests ahead.
    """
    queue = RoomQueue()
    for number in range(40):
        queue.add(f"low-{number}", "low", standing(rank=1), 0.0)
        queue.add(f"high-{number}", "high", standing(rank=0), 0.1)
    taken = [queue.take_next().partition("-")[0] for _ in range(80)]
    assert taken == ["high"] * 40 + ["low"] * 40


def test_tries_back_off_while_there_is_no_room():
    queue = RoomQueue()
    for _ in range(5):
        queue.record_outcome(found_room=False)
    assert queue.pause_s == MAX_PAUSE_S
    queue.record_outcome(found_room=True)
    assert queue.pause_s == MIN_PAUSE_S


@pytest.mark.parametrize(
    ("route_rank", "team_rank", "expected"), [(2, None, 2), (2, 0, 0), (0, 3, 3)]
)
def test_the_priority_of_a_team_goes_before_that_of_the_route(
    route_rank, team_rank, expected
):
    route = RelayRoute(
        "r", "h", "/", RouteKind.SAFE, 1.0, 1.0, route_rank, (ServiceWeight("a", 1.0),)
    )
    assert rank_of(route, RelayTeam("t", 0.0, 0.0, team_rank)) == expected


def test_engines_are_told_ranks_and_begun_programs_in_the_same_order():
    urgencies = [
        standing(rank, has_begun=begun).urgency
        for rank in range(4)
        for begun in (True, False)
    ]
    assert urgencies == sorted(urgencies)
    assert 0 <= urgencies[0] < urgencies[-1] <= 9


class Burst:
    """First turns that arrive while all targets have some requests waiting."""

    def __init__(self):
        self.admission = ProgramAdmission()

    def admits(self, now, rank, loads, used_part=0.0):
        waiting = self.admission.record_waiting("lm", loads, now)
        return self.admission.admits("lm", rank, waiting, used_part, now)


FULL = [(13.0, 8), (14.0, 8)]


def test_a_short_burst_refuses_no_program():
    burst = Burst()
    assert burst.admits(0.0, 2, FULL)
    assert burst.admits(SUSTAINED_S - 0.1, 2, FULL)
    assert burst.admits(SUSTAINED_S, 2, [(3.0, 8), (14.0, 8)])
    assert burst.admits(SUSTAINED_S + 0.5, 2, FULL)


def test_under_lasting_shortage_the_lowest_rank_is_refused_first():
    burst = Burst()
    burst.admits(0.0, 0, FULL)
    late = SUSTAINED_S + 0.1
    assert [burst.admits(late, rank, FULL) for rank in (0, 1, 2)] == [True, True, False]
    fuller = [(21.0, 8)]
    assert [burst.admits(late, rank, fuller) for rank in (0, 1, 2)] == [False] * 3


def test_a_program_that_comes_back_is_taken_before_new_ones():
    burst = Burst()
    burst.admits(0.0, 2, FULL)
    assert not burst.admits(2.0, 2, FULL)
    assert burst.admits(2.0, 2, FULL, used_part=0.2)


def test_a_shortage_of_long_ago_refuses_no_program():
    """Guards against refusals in a short burst, as the burst before it had no end."""
    burst = Burst()
    burst.admits(0.0, 2, FULL)
    assert burst.admits(60.0, 2, FULL)


def test_a_caller_that_states_a_short_limit_has_not_come_back():
    """Guards against new programs that pass for returned ones, and are all taken."""
    admission = ProgramAdmission()
    assert [admission.record_limit("r", 1.0) for _ in range(3)] == [0.0] * 3
    assert admission.record_limit("r", 0.6) > RETURNED_PART
    for _ in range(200):
        admission.record_limit("r", 0.5)
    assert admission.record_limit("r", 0.5) < RETURNED_PART


def test_refused_programs_return_at_different_times():
    rng = random.Random(3)
    times = sorted(return_after_s(rng) for _ in range(200))
    assert MIN_RETURN_S <= times[0] < times[-1] <= MAX_RETURN_S
    assert len({round(at, 1) for at in times}) >= 6
