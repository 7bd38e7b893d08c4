"""Generates traces from a workload and a seed."""

import math
import random
from typing import NamedTuple

from magnoliaroad.traces.jsonl import FORMAT_VERSION
from magnoliaroad.traces.record import ProgramRecord, TeamRecord, Trace, TurnRecord
from magnoliaroad.traces.shape import Range, Shape
from magnoliaroad.traces.workload import TEAM_SHARES, Workload

# Ratio of a team's granted rate to its mean request rate.
RATE_MARGIN = 2.0
# Burst of a team: the requests that its rate grants in this time, in seconds.
BURST_S = 20.0
# Index of the team that sends ``Demand.burst`` times its usual rate.
BURST_TEAM_INDEX = 5


class Demand(NamedTuple):
    """Arrival rate of programs.

    Attributes:
        programs_per_s: Mean number of programs of all teams that start per second.
        duration_s: Time during which programs start.
        burst: Factor by which one team exceeds its usual rate in the middle half of
            the duration.
    """

    programs_per_s: float
    duration_s: float
    burst: float = 1.0


def generate(workload: Workload, demand: Demand, seed: int) -> Trace:
    """Returns a trace of ``workload``; equal arguments give equal traces."""
    rng = random.Random(seed)
    programs: list[ProgramRecord] = []
    for index, share in enumerate(TEAM_SHARES):
        for start_s in _draw_arrivals(rng, demand, share, index == BURST_TEAM_INDEX):
            programs += _draw_with_helpers(rng, workload, _team_name(index), start_s)
    programs.sort(key=lambda program: program["start_s"])
    header = {
        "trace": workload.name,
        "version": FORMAT_VERSION,
        "seed": seed,
        "teams": _team_records(workload, demand),
        "outcomes": None,
    }
    return Trace(header, programs)


def _draw_arrivals(
    rng: random.Random, demand: Demand, share: float, has_burst: bool
) -> list[float]:
    rate = demand.programs_per_s * share
    quarter_s = demand.duration_s / 4
    arrivals = []
    now = 0.0
    while True:
        in_burst = quarter_s <= now < 3 * quarter_s
        now += rng.expovariate(rate * (demand.burst if has_burst and in_burst else 1.0))
        if now >= demand.duration_s:
            return arrivals
        arrivals.append(now)


def _draw_with_helpers(
    rng: random.Random, workload: Workload, team: str, start_s: float
) -> list[ProgramRecord]:
    weights = [shape.share for shape in workload.shapes]
    shape = rng.choices(workload.shapes, weights)[0]
    main = _draw_program(rng, shape, team, start_s, helper=False)
    records = [main]
    for turn in main["turns"][:-1]:
        if rng.random() < shape.helper_share:
            helper = _draw_program(rng, workload.helper, team, start_s, helper=True)
            turn["helpers"].append(helper["program"])
            records.append(helper)
    return records


def _draw_program(
    rng: random.Random, shape: Shape, team: str, start_s: float, helper: bool
) -> ProgramRecord:
    turns = [
        _draw_turn(rng, shape)
        for _ in range(round(_draw_log_uniform(rng, shape.turns)))
    ]
    return {
        "program": f"{shape.name}-{rng.getrandbits(48):012x}",
        "team": team,
        "shape": shape.name,
        "start_s": round(start_s, 6),
        "shared_tokens": shape.shared_tokens,
        "helper": helper,
        "turns": turns,
    }


def _draw_turn(rng: random.Random, shape: Shape) -> TurnRecord:
    return {
        "new_tokens": round(_draw_log_uniform(rng, shape.new_tokens)),
        "answer_tokens": round(_draw_log_uniform(rng, shape.answer_tokens)),
        "pause_s": round(_draw_log_uniform(rng, shape.pause_s), 3),
        "helpers": [],
    }


def _draw_log_uniform(rng: random.Random, limits: Range) -> float:
    low, high = limits
    return math.exp(rng.uniform(math.log(low), math.log(high)))


def _team_records(workload: Workload, demand: Demand) -> list[TeamRecord]:
    calls_per_program = sum(
        shape.share * _mean_calls(shape) for shape in workload.shapes
    )
    teams = []
    for index, share in enumerate(TEAM_SHARES):
        rate = RATE_MARGIN * demand.programs_per_s * share * calls_per_program
        teams.append(
            TeamRecord(
                name=_team_name(index),
                weight=share / min(TEAM_SHARES),
                rate=round(rate, 3),
                burst=round(rate * BURST_S, 3),
            )
        )
    return teams


def _mean_calls(shape: Shape) -> float:
    low, high = shape.turns
    return (high - low) / math.log(high / low)


def _team_name(index: int) -> str:
    return f"team-{index + 1}"
