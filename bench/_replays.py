"""Trace replays for the ``placement`` benchmark."""

import concurrent.futures
import statistics
from collections.abc import Iterable, Sequence
from typing import NamedTuple

from magnoliaroad.routing.settings import RoutingSettings
from magnoliaroad.traces import ReplaySettings, Report, Trace, generate, replay
from magnoliaroad.traces.generate import BURST_TEAM_INDEX, Demand
from magnoliaroad.traces.workload import TEAM_SHARES, WORKLOADS, Workload

DURATION_S = 300.0
PROCESSES = 3
OURS = "ours"
BASELINES = ("round_robin", "least_loaded", "prefix_affinity")
# Baselines that determine the capacity.
CAPACITY_BASELINES = ("prefix_affinity", "least_loaded")
# With so many engines each program runs as if it were alone.
UNLOADED_ENGINES = 100
# Engines are saturated once the mean latency exceeds this multiple of the latency on
# unloaded engines.
SATURATION_RATIO = 2.0
BURST_FACTOR = 6.0
# Load outside the burst. With the burst, which lasts for the middle half of the run,
# the load is 120 %.
LOAD_OUTSIDE_BURST = 1.2 / (1.0 + (BURST_FACTOR - 1.0) * TEAM_SHARES[BURST_TEAM_INDEX])


class Load(NamedTuple):
    """An offered load.

    Attributes:
        name: Name in the output and on the command line.
        share: Load as a fraction of the capacity.
        burst: Factor by which one team exceeds its usual rate.
    """

    name: str
    share: float
    burst: float = 1.0


LOADS = (
    Load("50", 0.5),
    Load("80", 0.8),
    Load("95", 0.95),
    Load("120_burst", LOAD_OUTSIDE_BURST, BURST_FACTOR),
)


class Case(NamedTuple):
    """Parameters of one replay.

    Attributes:
        workload: Name of the workload.
        policy: ``ours`` or a baseline.
        programs_per_s: Offered load in programs per second.
        burst: Factor by which one team exceeds its usual rate.
        seed: Seed of the trace and of the replay.
        team: The only team that sends; empty for all teams.
        engines: Number of engines; 0 for the number in the workload.
    """

    workload: str
    policy: str
    programs_per_s: float
    burst: float
    seed: int
    team: str = ""
    engines: int = 0


def run_case(case: Case) -> Report:
    """Replays ``case`` and returns its report."""
    workload = WORKLOADS[case.workload]
    demand = Demand(case.programs_per_s, DURATION_S, case.burst)
    trace = generate(workload, demand, case.seed)
    if case.team:
        trace = _only_team(trace, case.team)
    return replay(trace, settings(workload, case))


def settings(workload: Workload, case: Case) -> ReplaySettings:
    """Returns the settings of a replay; the engines are the same for all policies."""
    ours = case.policy == OURS
    policy = workload.policy if ours else case.policy
    return ReplaySettings(
        routing=RoutingSettings(policy=policy),
        engines=case.engines or workload.engines,
        hosts=workload.hosts,
        data_centres=workload.data_centres,
        release_ended=ours,
        seed=case.seed,
    )


def run_all(cases: list[Case]) -> dict[Case, Report]:
    """Runs ``cases`` in ``PROCESSES`` processes; returns the reports by case."""
    with concurrent.futures.ProcessPoolExecutor(PROCESSES) as pool:
        return dict(zip(cases, pool.map(run_case, cases), strict=True))


def find_capacity(name: str, seeds: Sequence[int]) -> float:
    """Returns the load at which the best baseline saturates, in programs/s."""
    policy = "prefix_affinity"
    unloaded = [
        Case(name, policy, 1.0, 1.0, seed, engines=UNLOADED_ENGINES) for seed in seeds
    ]
    unloaded_s = _mean_s(run_all(unloaded).values())
    low, high = 0.5, 4.0
    while high - low > 0.1:
        rate = round((low + high) / 2, 3)
        best_s = min(
            _loaded_s(name, policy, rate, seeds) for policy in CAPACITY_BASELINES
        )
        if best_s > SATURATION_RATIO * unloaded_s:
            high = rate
        else:
            low = rate
    return round(low, 2)


def _loaded_s(name: str, policy: str, rate: float, seeds: Sequence[int]) -> float:
    cases = [Case(name, policy, rate, 1.0, seed) for seed in seeds]
    return _mean_s(run_all(cases).values())


def _mean_s(reports: Iterable[Report]) -> float:
    return statistics.fmean(report.mean_s for report in reports)


def _only_team(trace: Trace, team: str) -> Trace:
    return trace._replace(programs=[p for p in trace.programs if p["team"] == team])
