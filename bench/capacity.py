"""Writes docs/CAPACITY.md from measured costs per unit.

``python -m bench capacity [--cost FILE]``; FILE is the output of ``bench cost``.
"""

import argparse
import json
import pathlib

from bench import _capacity_rows as capacity_rows
from bench import _design_size as size
from bench._slopes import Slopes, measure_slopes

PAGE = pathlib.Path("docs/CAPACITY.md")
HEAD = f"""# Capacity

Written by `python -m bench capacity`, which measures the slopes (costs per unit) on
one core of one machine and computes the rest. The figures of idle hosts are the
output of `python -m bench cost`, given with `--cost`. The size is that of the
developers' page:
{size.HOSTS} hosts, {size.RUNNERS:,} runners on {size.ACCELERATORS:,} accelerators,
{size.REQUESTS_PER_S:,} requests and {size.TOKENS_PER_S:,} tokens a second,
{size.PROGRAMS:,} programs, {size.TEAMS:,} teams, {size.MODELS} models,
{size.CHANGES_PER_DAY:,} changes a day, {size.REGIONS} regions with
{size.DATA_CENTRES} data centres.

Assumed, as in the present traces: a mean history of {size.MEAN_HISTORY_TOKENS:,}
tokens of {size.BYTES_PER_TOKEN} bytes (the longest have {size.LONGEST_TOKENS:,}),
{size.MEAN_TURNS} turns, {size.TURN_TOKENS} new tokens and {size.TURN_S:.0f} s a turn,
{size.ACTIVE_TEAMS_ON_HOST} teams active on a host.
"""


def main(args: list[str]) -> None:
    parser = argparse.ArgumentParser(prog="python -m bench capacity")
    parser.add_argument("--cost", type=pathlib.Path)
    cost = parser.parse_args(args).cost
    slopes = measure_slopes()
    processor_rows, core_percent = capacity_rows.host_time(slopes)
    sections = {
        "Processor time of an entry host": processor_rows,
        "Memory": capacity_rows.host_memory(slopes),
        "Traffic between hosts": capacity_rows.host_traffic(slopes),
        "Calls on the platform's service": capacity_rows.store_calls(),
        "Engines, disks and operators": capacity_rows.engines(slopes),
        "Losses": capacity_rows.faults(),
    }
    if cost is not None:
        figures = json.loads(cost.read_text().splitlines()[-1])
        sections["Idle hosts"] = capacity_rows.idle_control(figures, core_percent)
    PAGE.write_text(render(slopes, sections))
    exceeded = [
        row.quantity
        for section in sections.values()
        for row in section
        if row.fits is False
    ]
    print(json.dumps({"slopes": slopes._asdict(), "does_not_fit": exceeded}))


def render(slopes: Slopes, sections: dict[str, list[capacity_rows.Row]]) -> str:
    """Returns the text of the page."""
    blocks = [HEAD, "## Slopes measured\n", _slopes_table(slopes)]
    for title, rows in sections.items():
        blocks += [f"## {title}\n", _table(rows)]
    blocks += ["## What does not fit yet\n", _exceeded_limits(sections)]
    return "\n".join(blocks)


def _slopes_table(slopes: Slopes) -> str:
    rows = [f"| `{name}` | {value:,} |" for name, value in slopes._asdict().items()]
    return "\n".join(["| slope | measured |", "|---|---|", *rows, ""])


def _table(rows: list[capacity_rows.Row]) -> str:
    head = "| role | what | arithmetic | value | limit | fits | mechanism |"
    body = [
        f"| {row.role} | {row.quantity} | {row.arithmetic} | {row.value} | {row.limit}"
        f" | {_yes_or_no(row.fits)} | {row.mechanism} |"
        for row in rows
    ]
    return "\n".join([head, "|---|---|---|---|---|---|---|", *body, ""])


def _yes_or_no(fits: bool | None) -> str:
    return "" if fits is None else "yes" if fits else "no"


def _exceeded_limits(sections: dict[str, list[capacity_rows.Row]]) -> str:
    rows = [
        row for section in sections.values() for row in section if row.fits is False
    ]
    listed = [
        f"- {row.quantity} ({row.role}): {row.value} against {row.limit}."
        f" {row.mechanism}."
        for row in rows
    ]
    return "\n".join([*listed, ""])
