import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from magnoliaroad.config import Config, Route, RouteKind, Target, Team
from magnoliaroad.refusal import Refusal
from magnoliaroad.routing import Dispatcher, Job, Placement, RoutingSettings, Usage
from magnoliaroad.routing.circuit_breaker import CLOSING_TRIAL_LIMIT, CircuitBreaker
from magnoliaroad.routing.load_report import LoadReport
from magnoliaroad.routing.messages import HostLoad
from magnoliaroad.routing.policies import load_policy
from magnoliaroad.routing.retry_budget import RetryBudget
from magnoliaroad.verdict import Verdict

BATCH = 4
CFG = RoutingSettings(policy_options={"order": {"engine_batch": BATCH}})
PREFIX = tuple(range(1, 41))


def config(draining=(), engines=3):
    names = [f"engine-{n}" for n in range(engines)]
    targets = {
        name: Target(name, "model", "", "dc", draining=name in draining)
        for name in names
    }
    targets["records"] = Target("records", "payouts", "", "dc")
    return Config(
        revision=1,
        teams={"team": Team("team", 1.0, 1.0)},
        routes={
            "model": Route("model", RouteKind.ENGINE),
            "payouts": Route("payouts", RouteKind.SERVICE),
        },
        targets=targets,
    )


def make_dispatcher(cfg=CFG, leaving=(), **kwargs):
    dispatcher = Dispatcher(cfg, "dc")
    dispatcher.configure(config(**kwargs), leaving, 0.0)
    return dispatcher


def job(number, program="p", prefix=(), route="model", **fields):
    tokens = 256 * len(prefix)
    return Job(f"j{number}", program, "team", route, tokens, 100, prefix, **fields)


def placed(decisions):
    return [d.outcome for d in decisions if isinstance(d.outcome, Placement)]


def names(placements):
    return [placement.target.name for placement in placements]


def fill_engines(dispatcher, now=0.0, count=3 * BATCH):
    return [
        placed(dispatcher.submit(job(f"fill{n}", f"f{n}"), now))[0]
        for n in range(count)
    ]


def test_the_next_turn_goes_to_the_engine_that_holds_its_prefix():
    dispatcher = make_dispatcher()
    (first,) = placed(dispatcher.submit(job(1, prefix=PREFIX), 0.0))
    dispatcher.release(first, Usage(10240, 0, 50), 1.0)
    for number in range(2, 6):
        dispatcher.submit(job(number, f"other-{number}"), 1.0)
    longer = (*PREFIX, 98, 99)
    (second,) = placed(dispatcher.submit(job(9, prefix=longer), 2.0))
    assert second.target == first.target


def test_a_short_wait_is_preferred_to_recomputing_a_long_prompt():
    dispatcher = make_dispatcher()
    (home,) = placed(dispatcher.submit(job(1, prefix=PREFIX), 0.0))
    name = home.target.name
    dispatcher.on_host_load("peer", HostLoad({name: BATCH - 1}), 0.0)
    assert placed(dispatcher.submit(job(2, prefix=PREFIX), 0.1)) == []
    dispatcher.on_host_load("peer", HostLoad({}), 0.2)
    assert names(placed(dispatcher.tick(0.2))) == [name]


def test_an_idle_engine_is_preferred_to_an_overloaded_cache_holder():
    dispatcher = make_dispatcher()
    (home,) = placed(dispatcher.submit(job(1, prefix=PREFIX), 0.0))
    dispatcher.on_host_load("peer", HostLoad({home.target.name: 50 * BATCH}), 0.0)
    (moved,) = placed(dispatcher.submit(job(2, prefix=PREFIX), 0.1))
    assert moved.target != home.target


def test_hosts_do_not_herd_to_the_engine_that_reports_no_load():
    dispatcher = make_dispatcher()
    for name in ("engine-0", "engine-1"):
        dispatcher.on_load_report(name, LoadReport(BATCH, 0), 0.0)
    dispatcher.on_load_report("engine-2", LoadReport(0, 0), 0.0)
    dispatcher.on_host_load("peer", HostLoad({"engine-2": BATCH}), 0.0)
    (placement,) = placed(dispatcher.submit(job(1), 0.1))
    assert placement.target.name != "engine-2"


@pytest.mark.parametrize("how", ["draining", "leaving"])
def test_a_draining_or_leaving_target_gets_no_requests(how):
    dispatcher = make_dispatcher(**{how: ("engine-0", "engine-1")})
    assert set(names(fill_engines(dispatcher, count=BATCH))) == {"engine-2"}


def test_a_failed_target_is_not_tried_again_by_the_same_request():
    dispatcher = make_dispatcher()
    excluded = frozenset({"engine-0", "engine-2"})
    assert names(placed(dispatcher.submit(job(1, excluded=excluded), 0.0))) == [
        "engine-1"
    ]


def test_breaker_opens_after_failures_and_closes_in_steps():
    breaker = CircuitBreaker(RoutingSettings())
    for _ in range(3):
        assert breaker.allows(0, 0.0)
        breaker.record(True, 0.0)
    assert not breaker.allows(0, 0.5)
    assert breaker.allows(0, 1.0)
    assert not breaker.allows(1, 1.0)
    breaker.record(True, 1.0)
    assert not breaker.allows(0, 2.9)
    in_flight = 1
    while breaker.tripped:
        assert breaker.allows(in_flight - 1, 3.0)
        assert not breaker.allows(in_flight, 3.0)
        breaker.record(False, 3.0)
        in_flight *= 2
    assert in_flight == CLOSING_TRIAL_LIMIT


def test_without_a_usable_target_a_request_is_refused_at_once():
    dispatcher = make_dispatcher(draining=("engine-0", "engine-1", "engine-2"))
    ((_, refusal, _, _),) = dispatcher.submit(job(1), 0.0)
    assert isinstance(refusal, Refusal)
    assert refusal.verdict is Verdict.NOT_RUN


def test_a_deadline_that_cannot_be_met_is_refused_at_once():
    dispatcher = make_dispatcher()
    fill_engines(dispatcher)
    assert placed(dispatcher.submit(job(1), 1.0)) == []
    ((_, refusal, _, _),) = dispatcher.submit(job(2, deadline_s=0.01), 1.0)
    assert refusal.code == "overloaded"
    assert dispatcher.waiting() == 1


def test_a_burst_does_not_shut_other_teams_out_of_a_full_queue():
    dispatcher = make_dispatcher(CFG._replace(queue_limit=20))
    for number in range(3 * BATCH + 20):
        dispatcher.submit(job(number)._replace(team="bursting"), 1.0)
    (decision,) = dispatcher.submit(job(99)._replace(team="quiet"), 2.0)
    assert decision.job.team == "bursting"
    assert decision.outcome.verdict is Verdict.NOT_RUN
    assert dispatcher.waiting() == 20


def test_a_request_that_waited_too_long_is_refused():
    dispatcher = make_dispatcher(CFG._replace(queue_wait_s=30.0))
    fill_engines(dispatcher)
    dispatcher.submit(job(1), 1.0)
    assert dispatcher.tick(30.0) == []
    ((_, refusal, _, _),) = dispatcher.tick(31.5)
    assert refusal.verdict is Verdict.NOT_RUN


def test_a_cancelled_request_leaves_the_queue():
    dispatcher = make_dispatcher()
    placements = fill_engines(dispatcher)
    cancelled = job(1)
    dispatcher.submit(cancelled, 1.0)
    dispatcher.cancel(cancelled)
    assert dispatcher.release(placements[0], Usage(10, 0, 10), 2.0) == []


def test_services_are_not_queued():
    dispatcher = make_dispatcher()
    calls = [job(n, route="payouts") for n in range(5 * BATCH)]
    assert all(placed(dispatcher.submit(call, 0.0)) for call in calls)


@settings(derandomize=True, max_examples=40, deadline=None)
@given(st.lists(st.booleans(), min_size=1, max_size=120))
def test_retries_are_limited_to_a_fraction_of_requests(retried):
    budget = RetryBudget(0.1, 10.0)
    granted = 0
    for number, wants in enumerate(retried, start=1):
        budget.deposit()
        granted += wants and budget.withdraw()
        assert granted <= 10 + 0.1 * number + 1e-6


@settings(derandomize=True, max_examples=60, deadline=None)
@given(st.lists(st.integers(0, 2), min_size=1, max_size=80))
def test_no_request_waits_while_an_engine_has_capacity(steps):
    dispatcher = make_dispatcher()
    placements = []
    for number, step in enumerate(steps):
        now = float(number)
        if step and placements:
            placement = placements.pop(0)
            placements += placed(dispatcher.release(placement, Usage(100, 0, 50), now))
        decisions = dispatcher.submit(job(number, f"p{number % 7}"), now)
        assert not [d for d in decisions if isinstance(d.outcome, Refusal)]
        placements += placed(decisions)
        assert dispatcher.waiting() == 0 or len(placements) == 3 * BATCH


@pytest.mark.parametrize(
    ("name", "options", "text"),
    [
        ("fastest", {}, "fastest"),
        ("program_latency", {"slack": 1}, "slack"),
        ("worst_team", {"order": {"engine_batch": "many"}}, "engine_batch"),
    ],
)
def test_invalid_policy_settings_are_rejected(name, options, text):
    with pytest.raises(ValueError, match=text):
        load_policy(name, options)
