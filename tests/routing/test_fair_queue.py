import itertools

from hypothesis import given, settings
from hypothesis import strategies as st

from magnoliaroad.queueing.fair_queue import FairQueue
from magnoliaroad.queueing.job import Job
from magnoliaroad.queueing.queue_order import QueueOrder

ORDER = QueueOrder(slack_tokens=1000.0, ageing_tokens_per_s=100.0)
WEIGHTS = {"a": 1.0, "b": 2.0, "c": 4.0}
LARGEST = 500.0
numbers = itertools.count()


def job(team, program=""):
    return Job(f"job-{next(numbers)}", program, team, "model")


def take_next(queue):
    entry = next(queue.ordered())
    queue.remove(entry.job.request_id)
    return entry.job


def charge(queue, team, tokens):
    queue.start(team, tokens, WEIGHTS[team])
    queue.finish(team, 0.0, WEIGHTS[team])


@settings(derandomize=True, max_examples=60, deadline=None)
@given(st.lists(st.floats(1.0, LARGEST), min_size=30, max_size=120))
def test_service_of_backlogged_teams_differs_by_a_bounded_amount(costs):
    queue = FairQueue(ORDER)
    for team in WEIGHTS:
        for _ in range(len(costs)):
            queue.add(job(team), 0.0, 0.0)
    used = dict.fromkeys(WEIGHTS, 0.0)
    for cost in costs:
        team = take_next(queue).team
        charge(queue, team, cost)
        used[team] += cost / WEIGHTS[team]
        spread = max(used.values()) - min(used.values())
        assert spread <= ORDER.slack_tokens + LARGEST


@settings(derandomize=True, max_examples=60, deadline=None)
@given(
    st.lists(
        st.tuples(st.sampled_from(sorted(WEIGHTS)), st.booleans()),
        min_size=1,
        max_size=60,
    )
)
def test_no_request_starves(arrivals):
    queue = FairQueue(ORDER)
    oldest = job("a")
    # Its program has used far more than those that arrive after it.
    queue.add(oldest, 5000.0, 0.0)
    now = 0.0
    for team, expensive in itertools.chain(arrivals, itertools.repeat(("b", False))):
        now += 1.0
        queue.add(job(team), 0.0, now)
        chosen = take_next(queue)
        charge(queue, chosen.team, LARGEST if expensive else 10.0)
        if chosen is oldest:
            break
        assert now < 200.0


def test_an_idle_team_gains_no_credit_and_no_debt():
    queue = FairQueue(ORDER)
    queue.add(job("a"), 0.0, 0.0)
    queue.start("a", 1_000_000.0, 1.0)
    queue.add(job("b"), 0.0, 1.0)
    assert queue.lead("b") == 0.0
    assert queue.lead("a") == 0.0


def test_a_returning_team_is_not_delayed_for_service_it_used_alone():
    queue = FairQueue(ORDER)
    charge(queue, "a", 1_000_000.0)
    queue.add(job("b"), 0.0, 1.0)
    queue.add(job("a"), 0.0, 1.0)
    assert queue.lead("a") == 0.0


def test_least_served_program_goes_first_within_a_team():
    queue = FairQueue(ORDER)
    long, short = job("a", "long"), job("a", "short")
    queue.add(long, 9000.0, 0.0)
    queue.add(short, 100.0, 1.0)
    assert take_next(queue) is short
    assert take_next(queue) is long
    assert len(queue) == 0


@settings(derandomize=True, max_examples=60, deadline=None)
@given(
    st.lists(
        st.tuples(st.sampled_from(sorted(WEIGHTS)), st.floats(0.0, 9000.0)),
        min_size=1,
        max_size=40,
    ),
    st.floats(0.0, 5000.0),
)
def test_position_matches_the_order(arrivals, ahead):
    queue = FairQueue(ORDER)
    for now, (team, attained) in enumerate(arrivals):
        queue.add(job(team), attained, float(now))
    queue.start("a", ahead, 1.0)
    for place, entry in enumerate(queue.ordered()):
        assert queue.position(entry.job.request_id) == place
