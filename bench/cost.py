"""Measures control traffic, processor time and memory of idle hosts.

Runs with several numbers of hosts and teams and extrapolates to the design size.
"""

import asyncio
import json
import os
import pathlib
import re
from typing import NamedTuple

from bench._hosts import Hosts, HostSpec, hosts_running
from magnoliaroad.config import Team
from magnoliaroad.config.publish import publish
from magnoliaroad.limits.messages import LoanRequest, TokenLoan
from magnoliaroad.peers import MessageCatalogue
from magnoliaroad.peers.frame import Frame, FrameKind, pack_frame
from magnoliaroad.store.client import HttpStore
from magnoliaroad.store.settings import StoreSettings

HOST_COUNTS = (2, 4, 8, 16)
TEAM_COUNTS = (8, 500, 5000)
FEW_TEAMS, FEW_HOSTS = 8, 8
SETTLE_S = 14.0
MEASURE_S = 10.0
SENT = re.compile(r'^peers_sent_bytes_total\{type="(\w+)"\} (\S+)$', re.MULTILINE)
TICKS_PER_S = os.sysconf("SC_CLK_TCK")
FULL_HOSTS, FULL_TEAMS, FULL_REQUESTS_PER_S = 390, 5100, 15_000
BOUNDS = {"core_percent": 2.9, "memory_mb": 32.0, "bytes_per_s": 4000.0}


class Reading(NamedTuple):
    """Resource use of one host since its start.

    Attributes:
        cpu_s: Processor time in seconds.
        memory_mb: Resident memory in MiB.
        sent: Bytes sent to peers, by message type.
    """

    cpu_s: float
    memory_mb: float
    sent: dict[str, float]


class Figures(NamedTuple):
    """Means over the hosts of one run without requests."""

    hosts: int
    teams: int
    core_percent: float
    memory_mb: float
    bytes_per_s: float
    store_calls_per_s: float
    bytes_per_s_by_type: dict[str, float]


def main(args: list[str]) -> None:
    print(json.dumps(asyncio.run(_run())))


async def _run() -> dict[str, object]:
    by_hosts = [await _measure(hosts, FEW_TEAMS) for hosts in HOST_COUNTS]
    more_teams = [await _measure(FEW_HOSTS, teams) for teams in TEAM_COUNTS[1:]]
    by_teams = [next(f for f in by_hosts if f.hosts == FEW_HOSTS), *more_teams]
    slopes = {
        name: {
            "per_host": _slope(by_hosts, "hosts", name),
            "per_host_from_8": _slope(by_hosts[-2:], "hosts", name),
            "per_team": _slope(by_teams, "teams", name),
        }
        for name in BOUNDS
    }
    token_bytes = _token_bytes_per_request()
    return {
        "by_hosts": [figures._asdict() for figures in by_hosts],
        "by_teams": [figures._asdict() for figures in by_teams],
        "slopes": slopes,
        "token_bytes_per_request": token_bytes,
        "at_full_size": _extrapolate(by_hosts[-1], slopes, token_bytes),
        "bounds": BOUNDS,
    }


async def _measure(count: int, teams: int) -> Figures:
    async with hosts_running(count) as hosts:
        await _configure(hosts, teams)
        await asyncio.sleep(SETTLE_S)
        before = [await _read(hosts, spec) for spec in hosts.specs]
        calls = await _store_calls(hosts)
        await asyncio.sleep(MEASURE_S)
        calls = await _store_calls(hosts) - calls
        after = [await _read(hosts, spec) for spec in hosts.specs]
    cpu_s = sum(b.cpu_s - a.cpu_s for a, b in zip(before, after, strict=True))
    types = {name for reading in after for name in reading.sent}
    sent = {
        name: sum(
            b.sent.get(name, 0.0) - a.sent.get(name, 0.0)
            for a, b in zip(before, after, strict=True)
        )
        / (MEASURE_S * count)
        for name in sorted(types)
    }
    return Figures(
        hosts=count,
        teams=teams,
        core_percent=round(100 * cpu_s / MEASURE_S / count, 3),
        memory_mb=round(sum(r.memory_mb for r in after) / count, 2),
        bytes_per_s=round(sum(sent.values()), 1),
        store_calls_per_s=round(calls / MEASURE_S, 2),
        bytes_per_s_by_type={k: round(v, 1) for k, v in sent.items() if v >= 0.05},
    )


async def _configure(hosts: Hosts, teams: int) -> None:
    store = HttpStore(StoreSettings(hosts.store_url, timeout_s=5.0))
    entries = {f"team-{n}": Team(f"team-{n}", 10.0, 20.0) for n in range(teams)}
    try:
        await publish(store, lambda base: base._replace(teams=entries), "bench")
    finally:
        await store.close()


async def _read(hosts: Hosts, spec: HostSpec) -> Reading:
    async with hosts.session.get(f"{spec.url}/metrics") as resp:
        text = await resp.text()
    proc = pathlib.Path("/proc") / str(hosts.pid(spec))
    stat = (proc / "stat").read_text().rpartition(") ")[2].split()
    status = (proc / "status").read_text()
    resident = re.search(r"^VmRSS:\s+(\d+) kB", status, re.MULTILINE)
    return Reading(
        cpu_s=(int(stat[11]) + int(stat[12])) / TICKS_PER_S,
        memory_mb=int(resident[1]) / 1024 if resident else 0.0,
        sent={name: float(value) for name, value in SENT.findall(text)},
    )


async def _store_calls(hosts: Hosts) -> int:
    async with hosts.session.get(f"{hosts.store_url}/standin/calls") as resp:
        return sum((await resp.json()).values())


def _slope(runs: list[Figures], by: str, name: str) -> float:
    xs = [float(getattr(run, by)) for run in runs]
    ys = [float(getattr(run, name)) for run in runs]
    mean_x = sum(xs) / len(xs)
    spread = sum((x - mean_x) ** 2 for x in xs)
    return sum((x - mean_x) * y for x, y in zip(xs, ys, strict=True)) / spread


def _token_bytes_per_request() -> int:
    catalogue = MessageCatalogue((LoanRequest, TokenLoan))
    request = LoanRequest(100_000, "0" * 8, "a-team-of-16-chr", 1.0)
    loan = TokenLoan(100_000, 1.0, 1.0)
    return sum(
        len(pack_frame(Frame(FrameKind.SEND, 0, *catalogue.pack(message))))
        for message in (request, loan)
    )


def _extrapolate(
    last: Figures, slopes: dict[str, dict[str, float]], token_bytes: int
) -> dict[str, float]:
    hosts, teams = FULL_HOSTS - last.hosts, FULL_TEAMS - last.teams
    figures = {
        name: getattr(last, name)
        + hosts * max(0.0, slope["per_host_from_8"])
        + teams * slope["per_team"]
        for name, slope in slopes.items()
    }
    figures["token_bytes_per_s"] = FULL_REQUESTS_PER_S / FULL_HOSTS * token_bytes
    return {name: round(value, 2) for name, value in figures.items()}
