"""Compares placement policies on all workloads; measures the time of a decision.

``python -m bench placement [--seeds N] [--loads 80,95] [--policies ours,...]``
"""

import argparse
import json
import statistics

from bench._decision_time import decision_time_us
from bench._replays import (
    BASELINES,
    LOADS,
    OURS,
    Case,
    Load,
    find_capacity,
    run_all,
)
from magnoliaroad.traces import Report
from magnoliaroad.traces.workload import TEAM_SHARES, WORKLOADS

RUNNERS = (13, 1900)


def main(args: list[str]) -> None:
    options = _parse(args)
    seeds = range(1, options.seeds + 1)
    loads = [load for load in LOADS if load.name in options.loads.split(",")]
    policies = options.policies.split(",")
    result: dict = {"workloads": {}}
    for name in options.workloads.split(","):
        capacity = options.capacity or find_capacity(name, seeds)
        figures = {
            load.name: _measure(name, capacity, load, policies, seeds) for load in loads
        }
        result["workloads"][name] = {
            "capacity_programs_per_s": capacity,
            "loads": figures,
            "bounds": {
                load: check_bounds(policies) for load, policies in figures.items()
            },
        }
    few_us, many_us = (decision_time_us(count) for count in RUNNERS)
    slope = (many_us - few_us) / (RUNNERS[1] - RUNNERS[0])
    result["decision_us"] = {str(RUNNERS[0]): few_us, str(RUNNERS[1]): many_us}
    result["decision_ns_per_runner"] = round(1000 * slope, 2)
    print(json.dumps(result))


def check_bounds(figures: dict) -> dict[str, bool]:
    """Returns the ratios to the baselines and which of the bounds are met."""
    ours = figures.get(OURS)
    if ours is None or not set(BASELINES) <= set(figures):
        return {}
    mean = ours["program_latency_mean_s"]["mean"]
    least = figures["least_loaded"]
    baselines = [figures[name] for name in BASELINES]
    best = min(f["program_latency_mean_s"]["mean"] for f in baselines)
    lowest_ratio = min(f["worst_team_ratio"]["mean"] for f in baselines)
    recomputed = least["recomputed_token_ratio"]["mean"]
    return {
        "latency_to_least_loaded": round(
            mean / least["program_latency_mean_s"]["mean"], 3
        ),
        "latency_to_best": round(mean / best, 3),
        "latency_0.7_of_least_loaded": mean
        <= 0.7 * least["program_latency_mean_s"]["mean"],
        "latency_0.9_of_best": mean <= 0.9 * best,
        "worst_team_below_all": ours["worst_team_ratio"]["mean"] < lowest_ratio,
        "recomputed_half_of_least_loaded": ours["recomputed_token_ratio"]["mean"]
        <= 0.5 * recomputed,
        "no_wrongful_refusals": ours["wrongful_refusals"]["max"] == 0,
    }


def _measure(name: str, capacity: float, load: Load, policies, seeds) -> dict:
    rate = round(capacity * load.share, 3)
    cases = [
        Case(name, policy, rate, load.burst, seed)
        for policy in policies
        for seed in seeds
    ]
    teams = [f"team-{index + 1}" for index in range(len(TEAM_SHARES))]
    alone = [
        Case(name, "prefix_affinity", rate, load.burst, seed, team)
        for team in teams
        for seed in seeds
    ]
    reports = run_all(cases + alone)
    figures = {}
    for policy in policies:
        rows = []
        for seed in seeds:
            report = reports[Case(name, policy, rate, load.burst, seed)]
            alone_s = {
                team: reports[
                    Case(name, "prefix_affinity", rate, load.burst, seed, team)
                ].mean_s
                for team in teams
            }
            rows.append(_row(report, alone_s))
        figures[policy] = {
            key: _summarize([row[key] for row in rows]) for key in rows[0]
        }
    return figures


def _row(report: Report, alone_s: dict[str, float]) -> dict[str, float]:
    means = report.team_means()
    return {
        "program_latency_mean_s": report.mean_s,
        "program_latency_p50_s": report.quantile_s(0.5),
        "program_latency_p95_s": report.quantile_s(0.95),
        "worst_team_ratio": max(means[team] / alone_s[team] for team in means),
        "recomputed_token_ratio": report.recomputed_ratio,
        "wrongful_refusals": report.wrongful_refusals,
        "refusals": report.refusals,
        "unanswered": report.unanswered,
        "held_blocks_at_end": report.held_blocks,
    }


def _summarize(values: list[float]) -> dict[str, float]:
    return {
        "mean": round(statistics.fmean(values), 4),
        "min": round(min(values), 4),
        "max": round(max(values), 4),
    }


def _parse(args: list[str]) -> argparse.Namespace:
    parser = argparse.ArgumentParser(prog="python -m bench placement")
    parser.add_argument("--seeds", type=int, default=3)
    parser.add_argument("--loads", default=",".join(load.name for load in LOADS))
    parser.add_argument("--policies", default=",".join((*BASELINES, OURS)))
    parser.add_argument("--workloads", default=",".join(WORKLOADS))
    parser.add_argument("--capacity", type=float, default=0.0)
    return parser.parse_args(args)
