"""Measures rate limiting on eight hosts in four data centres, in virtual time."""

import json
import random
from collections.abc import Callable, Iterable
from typing import NamedTuple

from bench._limit_baselines import single_home, static_shares
from bench._limit_traces import (
    HOSTS,
    LAYOUT,
    TEAMS,
    any_host,
    bursts,
    first_host,
    poisson,
    steady,
    within_rate,
)
from magnoliaroad.rendezvous import highest_ranked
from tests.fakes.limit_hosts import AdmissionResult, Arrival, LimitHosts, worst_excess

START_S = 60.0
DURATION_S = 30.0
FAULT_S = START_S + 10.0
AFTER_FAULT_S = 10.0
SEEDS = (1, 2, 3)
CUT_DATA_CENTRE = "siliguri"
KILLED_HOST = highest_ranked(TEAMS[0].name, HOSTS)
SPAN = (START_S, START_S + DURATION_S)


class Case(NamedTuple):
    """Trace and fault of one test case.

    Attributes:
        arrivals: Returns the trace for a seed.
        fault: Injects the fault; called at ``FAULT_S``.
        counted_span: Start and end of the time in which refusals are counted.
        teams: Teams whose refusals are counted.
        killed: Host that is killed at ``FAULT_S``; empty for none.
        cut: Data centre that is partitioned from ``FAULT_S`` on; empty for none.
    """

    arrivals: Callable[[int], list[Arrival]]
    fault: Callable[[LimitHosts], None] = lambda fleet: None
    counted_span: tuple[float, float] = SPAN
    teams: tuple[str, ...] = tuple(team.name for team in TEAMS)
    killed: str = ""
    cut: str = ""


def steady_load(seed: int) -> list[Arrival]:
    return steady(seed, SPAN, any_host)


def all_at_first_host(seed: int) -> list[Arrival]:
    return steady(seed, SPAN, first_host)


def burst_after_idle(seed: int) -> list[Arrival]:
    return bursts(seed, START_S, any_host) + bursts(seed, START_S + 26, first_host)


def one_team_at_five_times(seed: int) -> list[Arrival]:
    greedy = poisson(random.Random(seed), TEAMS[1], 5 * TEAMS[1].rate, SPAN)
    return greedy + [a for a in steady_load(seed) if a.team != TEAMS[1].name]


def kill(fleet: LimitHosts) -> None:
    fleet.end(KILLED_HOST, listed=False)


def cut_off(fleet: LimitHosts) -> None:
    inside = LAYOUT[CUT_DATA_CENTRE]
    outside = [host for host in HOSTS if host not in inside]
    fleet.wire.cut(inside, [*outside, "store"])


def stop_store(fleet: LimitHosts) -> None:
    fleet.store_down = True


AFTER_FAULT = (FAULT_S, FAULT_S + AFTER_FAULT_S)
CASES = {
    "even": Case(steady_load),
    "one_host": Case(all_at_first_host),
    "burst_after_idle": Case(burst_after_idle),
    "five_times": Case(one_team_at_five_times, teams=(TEAMS[0].name, TEAMS[2].name)),
    "host_killed": Case(steady_load, kill, AFTER_FAULT, killed=KILLED_HOST),
    "data_centre_cut_off": Case(steady_load, cut_off, AFTER_FAULT, cut=CUT_DATA_CENTRE),
    "store_down": Case(steady_load, stop_store),
}


def main(args: list[str]) -> None:
    cases = {name: _measure(case) for name, case in CASES.items()}
    without_loss = ("even", "one_host", "burst_after_idle", "five_times", "store_down")
    figures = {
        "excess": max(case["excess"] for case in cases.values()),
        "wrongful_refusal_ratio": max(
            cases[n]["wrongful_refusal_ratio"] for n in without_loss
        ),
        "wrongful_refusal_ratio_host_killed": cases["host_killed"][
            "wrongful_refusal_ratio"
        ],
        "added_wait_ms_p99": max(cases[n]["added_wait_ms_p99"] for n in without_loss),
        "bounds": {
            "excess": 0,
            "wrongful_refusal_ratio": 0,
            "wrongful_refusal_ratio_host_killed": 0.01,
        },
        "cases": cases,
    }
    print(json.dumps(figures))


def _measure(case: Case) -> dict[str, float]:
    ours, static, single = [], [], []
    excess, messages, requests = float("-inf"), 0, 0
    for seed in SEEDS:
        arrivals = [a for a in case.arrivals(seed) if _is_served(case, a)]
        fleet = _run(case, arrivals, seed)
        excess = max(excess, _excess(fleet.results))
        messages += sum(n for k, n in fleet.messages.items() if k.startswith("Token"))
        requests += len(arrivals)
        ours.append(_count_refusals(case, arrivals, fleet.results))
        static.append(
            _count_refusals(case, arrivals, static_shares(arrivals, _is_alive(case)))
        )
        results = single_home(arrivals, _is_alive(case), _can_reach(case))
        single.append(_count_refusals(case, arrivals, results))
    waits = sorted(wait for counts in ours for wait in counts.waits)
    return {
        "requests": requests,
        "excess": round(max(0.0, excess), 6),
        "wrongful_refusal_ratio": _ratio(ours),
        "static_shares_wrongful_refusal_ratio": _ratio(static),
        "single_home_wrongful_refusal_ratio": _ratio(single),
        "added_wait_ms_p50": round(1000 * waits[len(waits) // 2], 2),
        "added_wait_ms_p99": round(1000 * waits[int(len(waits) * 0.99)], 2),
        "messages_per_request": round(messages / requests, 2),
    }


class RefusalCounts(NamedTuple):
    """Counts of the requests that are within their team's rate.

    Attributes:
        refused: Number of them that were not admitted.
        within: Number of them in all.
        waits: Seconds until each admitted one was admitted.
    """

    refused: int
    within: int
    waits: list[float]


def _run(case: Case, arrivals: list[Arrival], seed: int) -> LimitHosts:
    fleet = LimitHosts(LAYOUT, TEAMS, seed)
    fleet.run(START_S)
    fleet.messages.clear()
    fleet.run(FAULT_S, [a for a in arrivals if a.at <= FAULT_S])
    case.fault(fleet)
    fleet.run(SPAN[1] + 1.0, [a for a in arrivals if a.at > FAULT_S])
    return fleet


def _count_refusals(
    case: Case, arrivals: list[Arrival], results: Iterable[AdmissionResult]
) -> RefusalCounts:
    within = {
        arrival
        for arrival in within_rate(arrivals, TEAMS)
        if arrival.team in case.teams
        and case.counted_span[0] <= arrival.at < case.counted_span[1]
    }
    counted = [result for result in results if result.arrival in within]
    admitted = [result for result in counted if result.admitted]
    waits = [result.at - result.arrival.at for result in admitted]
    return RefusalCounts(len(within) - len(admitted), len(within), waits)


def _ratio(by_seed: list[RefusalCounts]) -> float:
    refused = sum(counts.refused for counts in by_seed)
    return round(refused / sum(counts.within for counts in by_seed), 5)


def _excess(results: list[AdmissionResult]) -> float:
    admitted = {team.name: [] for team in TEAMS}
    for result in results:
        if result.admitted:
            admitted[result.arrival.team].append(result.at)
    return max(
        worst_excess(admitted[team.name], team.rate, team.burst) for team in TEAMS
    )


def _is_alive(case: Case) -> Callable[[str, float], bool]:
    return lambda host, at: host != case.killed or at < FAULT_S


def _is_served(case: Case, arrival: Arrival) -> bool:
    return _is_alive(case)(arrival.host, arrival.at)


def _can_reach(case: Case) -> Callable[[str, str, float], bool]:
    inside = LAYOUT.get(case.cut, ())
    return lambda a, b, at: at < FAULT_S or (a in inside) == (b in inside)
