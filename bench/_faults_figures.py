"""Compares the runs at the targets with the outcomes that callers recorded."""

import collections
import json
import re
from typing import Any

import aiohttp

from bench._faults_caller import NOT_RUN, CallerRecords
from bench._faults_fleet import BUDGET, BUDGETS, Fleet
from bench._faults_schedule import Schedule
from bench._faults_trace import TracedProgram

MARK = re.compile(r"\[(p\d+)/(\d+)\]")
STALL_SPAN_S = 15.0


async def read_json(url: str) -> Any:
    """Fetches and decodes the JSON at ``url``."""
    async with aiohttp.ClientSession() as session, session.get(url) as resp:
        return json.loads(await resp.read())


async def payment_figures(fleet: Fleet, records: CallerRecords) -> dict[str, int]:
    """Counts payments that ran twice or ran after being reported as not run."""
    runs: collections.Counter[str] = collections.Counter()
    for url in fleet.services:
        runs.update(await read_json(f"{url}/standin/runs"))
    false_not_run = 0
    for key, outcomes in records.payments.items():
        may_have_run = sum(outcome.kind != NOT_RUN for outcome in outcomes)
        false_not_run += runs[key] > may_have_run
    last = [outcomes[-1].code for outcomes in records.payments.values()]
    return {
        "payments": len(records.payments),
        "double_runs": sum(count - 1 for count in runs.values() if count > 1),
        "false_not_run": false_not_run,
        "may_have_run": last.count("may_have_run"),
    }


async def history_figures(fleet: Fleet, records: CallerRecords) -> dict[str, int]:
    """Counts faults in the histories that engines received."""
    lost = set(records.lost)
    figures = {"mixed_turns": records.mixed_up, "out_of_order": 0}
    for url in fleet.engines:
        for turn in await read_json(f"{url}/standin/turns"):
            matches = [MARK.match(text) for text in turn["marks"]]
            turns = [(m[1], int(m[2])) for m in matches if m]
            program = turn["program"]
            numbers = [number for owner, number in turns if owner == program]
            figures["mixed_turns"] += len(turns) - len(numbers)
            figures["out_of_order"] += numbers != sorted(set(numbers))
            lost |= {(program, n) for n in _missing(program, numbers, records)}
    return {"lost_turns": len(lost), **figures}


def _missing(program: str, numbers: list[int], records: CallerRecords) -> set[int]:
    last = max(numbers, default=0)
    expected = {n for n in records.acknowledged.get(program, ()) if n < last}
    return expected - set(numbers)


def budget_excess(trace: list[TracedProgram], used: dict[str, int]) -> int:
    """Returns the number of programs that used more tokens than their budget."""
    limits = {p.program: BUDGETS.get(p.team, BUDGET) for p in trace}
    return sum(used.get(name, 0) > limit for name, limit in limits.items())


async def held_bytes(fleet: Fleet) -> dict[str, int]:
    """Returns the engines' cache memory in bytes, by program."""
    held: collections.Counter[str] = collections.Counter()
    for url in fleet.engines:
        shown = await read_json(f"{url}/v1/cache/programs")
        held.update(shown["programs"])
    return dict(held)


def takeover_p99_s(records: CallerRecords, schedule: Schedule) -> float:
    """Returns the 99th percentile of stalls after the loss of a host, in seconds.

    Counts requests that were first sent within ``STALL_SPAN_S`` of the loss.
    """
    stalls = [
        answered - started
        for started, answered in records.stalls
        if any(0 <= started - at < STALL_SPAN_S for at in schedule.lost_at)
    ]
    stalls.sort()
    return stalls[int(0.99 * (len(stalls) - 1))] if stalls else 0.0
