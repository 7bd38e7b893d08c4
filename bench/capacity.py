"""Writes docs/CAPACITY.md from measured costs per unit.

``python -m bench capacity [--cost FILE]``; FILE is the output of ``bench cost``.
"""

import argparse
import json
import pathlib

from bench import _capacity_lines as lines
from bench import _plan as plan
from bench._slopes import Slopes, measure_slopes

PAGE = pathlib.Path("docs/CAPACITY.md")
HEAD = f"""# Capacity

Written by `python -m bench capacity`, which measures the slopes (costs per unit) on
one core of one machine and computes the rest. The figures of idle hosts are the
output of `python -m bench cost`, given with `--cost`. The size is that of the
developers' page:
{plan.HOSTS} hosts, {plan.RUNNERS:,} runners on {plan.ACCELERATORS:,} accelerators,
{plan.REQUESTS_PER_S:,} requests and {plan.TOKENS_PER_S:,} tokens a second,
{plan.PROGRAMS:,} programs, {plan.TEAMS:,} teams, {plan.MODELS} models,
{plan.CHANGES_PER_DAY:,} changes a day, {plan.REGIONS} regions with
{plan.DATA_CENTRES} data centres.

Assumed, as in the present traces: a mean history of {plan.MEAN_HISTORY_TOKENS:,}
tokens of {plan.BYTES_PER_TOKEN} bytes (the longest have {plan.LONGEST_TOKENS:,}),
{plan.MEAN_TURNS} turns, {plan.TURN_TOKENS} new tokens and {plan.TURN_S:.0f} s a turn,
{plan.ACTIVE_TEAMS_ON_HOST} teams active on a host.
"""


def main(args: list[str]) -> None:
    parser = argparse.ArgumentParser(prog="python -m bench capacity")
    parser.add_argument("--cost", type=pathlib.Path)
    cost = parser.parse_args(args).cost
    slopes = measure_slopes()
    processor, core_percent = lines.host_time(slopes)
    sections = {
        "Processor time of an entry host": processor,
        "Memory": lines.host_memory(slopes),
        "Traffic between hosts": lines.host_traffic(slopes),
        "Calls on the platform's service": lines.store_calls(),
        "Engines, disks and operators": lines.engines(slopes),
        "Losses": lines.faults(),
    }
    if cost is not None:
        figures = json.loads(cost.read_text().splitlines()[-1])
        sections["Idle hosts"] = lines.idle_control(figures, core_percent)
    PAGE.write_text(render(slopes, sections))
    unfit = [
        line.what for part in sections.values() for line in part if line.fits is False
    ]
    print(json.dumps({"slopes": slopes._asdict(), "does_not_fit": unfit}))


def render(slopes: Slopes, sections: dict[str, list[lines.Line]]) -> str:
    """Returns the text of the page."""
    parts = [HEAD, "## Slopes measured\n", _slopes_table(slopes)]
    for title, rows in sections.items():
        parts += [f"## {title}\n", _table(rows)]
    parts += ["## What does not fit yet\n", _unfit(sections)]
    return "\n".join(parts)


def _slopes_table(slopes: Slopes) -> str:
    rows = [f"| `{name}` | {value:,} |" for name, value in slopes._asdict().items()]
    return "\n".join(["| slope | measured |", "|---|---|", *rows, ""])


def _table(rows: list[lines.Line]) -> str:
    head = "| role | what | arithmetic | value | limit | fits | mechanism |"
    body = [
        f"| {row.role} | {row.what} | {row.arithmetic} | {row.value} | {row.limit}"
        f" | {_mark(row.fits)} | {row.mechanism} |"
        for row in rows
    ]
    return "\n".join([head, "|---|---|---|---|---|---|---|", *body, ""])


def _mark(fits: bool | None) -> str:
    return "" if fits is None else "yes" if fits else "no"


def _unfit(sections: dict[str, list[lines.Line]]) -> str:
    rows = [line for part in sections.values() for line in part if line.fits is False]
    listed = [
        f"- {row.what} ({row.role}): {row.value} against {row.limit}. {row.mechanism}."
        for row in rows
    ]
    return "\n".join([*listed, ""])
