import pathlib

import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from magnoliaroad.routing.settings import RoutingSettings
from magnoliaroad.traces import ReplaySettings, generate, read_trace, replay
from magnoliaroad.traces.generate import BURST_TEAM_INDEX, Demand
from magnoliaroad.traces.jsonl import TraceError
from magnoliaroad.traces.workload import TILTBOX, WORKLOADS

scenarios("workloads.feature")

DATA = pathlib.Path(__file__).parent / "data"
# Upper bound of the cache blocks that shared instructions take up: 8 teams, the blocks
# of 256 tokens for the instructions of the 6 program shapes of both workloads, and 5
# engines.
MAX_SHARED_BLOCKS = 8 * (10 + 8 + 12 + 6 + 8 + 6) * 5


def filter_by_team(trace, team):
    programs = [p for p in trace.programs if p["team"] == team]
    return trace._replace(programs=programs)


@pytest.fixture
def outcome():
    return {}


@given(
    parsers.parse('the trace "{name}" of its user\'s hosts and engines'),
    target_fixture="case",
)
def _trace(name):
    workload = WORKLOADS[name]
    cfg = ReplaySettings(
        engines=workload.engines,
        hosts=workload.hosts,
        data_centres=workload.data_centres,
        release_ended=True,
        seed=7,
    )
    return {"trace": read_trace(DATA / f"{name}.jsonl"), "cfg": cfg}


@given("half of the engines are lost")
def _fewer(case):
    case["cfg"] = case["cfg"]._replace(engines=case["cfg"].engines // 2)


@when(parsers.parse('it is replayed with policy "{policy}"'))
def _replay(case, policy, outcome):
    cfg = case["cfg"]._replace(routing=RoutingSettings(policy=policy))
    trace = case["trace"]
    outcome["stated"] = trace.header["outcomes"]
    outcome["report"] = report = replay(trace, cfg)
    outcome["ratios"] = {
        team: mean / replay(filter_by_team(trace, team), cfg).mean_s
        for team, mean in report.team_means().items()
    }


@then("every program is answered")
def _answered(outcome):
    assert outcome["report"].unanswered == 0


@then("programs take no longer than stated")
def _latency(outcome):
    report, stated = outcome["report"], outcome["stated"]
    assert report.mean_s <= stated["mean_latency_s"]
    assert report.quantile_s(0.95) <= stated["p95_latency_s"]


@then("the worst-served team fares no worse than stated")
def _worst(outcome):
    assert max(outcome["ratios"].values()) <= outcome["stated"]["worst_team_ratio"]


@then("no more tokens are computed again than stated")
def _recomputed(outcome):
    stated = outcome["stated"]["recomputed_token_ratio"]
    assert outcome["report"].recomputed_ratio <= stated


@then("no team within its rate is refused more often than stated")
def _refused(outcome):
    stated = outcome["stated"]["wrongful_refusals"]
    assert outcome["report"].wrongful_refusals <= stated


@then("engines hold no cache but what programs have in common")
def _held(outcome):
    assert outcome["report"].held_blocks <= MAX_SHARED_BLOCKS


@then("the other teams fare better than the bursting one, against being alone")
def _others(outcome):
    ratios = dict(outcome["ratios"])
    del ratios[f"team-{BURST_TEAM_INDEX + 1}"]
    burst = outcome["report"].team_means()
    assert max(ratios.values()) < 3.0
    assert len(burst) == 8


@pytest.mark.parametrize("name", sorted(WORKLOADS))
def test_stored_trace_is_reproduced_from_its_seed(name):
    trace = read_trace(DATA / f"{name}.jsonl")
    rate = 1.6 if name == TILTBOX.name else 1.4
    again = generate(WORKLOADS[name], Demand(rate, 60.0, 5.0), trace.header["seed"])
    assert again.programs == trace.programs
    assert again.header["teams"] == trace.header["teams"]


def test_error_states_the_invalid_line(tmp_path):
    path = tmp_path / "bad.jsonl"
    good = (DATA / "sokol-lesson-week.jsonl").read_text().splitlines()
    path.write_text("\n".join([good[0], good[1].replace('"team":', '"tema":')]))
    with pytest.raises(TraceError, match="line 2"):
        read_trace(path)
