"""Idle relay hosts, as processes: ``python -m bench relay_rest [HOSTS...]``."""

import asyncio
import os
import pathlib
import re
import statistics
import tempfile
from typing import NamedTuple

from tests.soak.fleet import Fleet, HostProcess

HOST_COUNTS = (4, 8, 30)
# Time in which targets and hosts have become known, in seconds.
SETTLE_S = 6.0
MEASURE_S = 10.0
TICKS_PER_S = os.sysconf("SC_CLK_TCK")
WAITS = re.compile(r"^voluntary_ctxt_switches:\s+(\d+)$", re.MULTILINE)
MEMORY = re.compile(r"^VmRSS:\s+(\d+) kB$", re.MULTILINE)


class Reading(NamedTuple):
    """What the kernel counts of a process.

    Attributes:
        cpu_s: Processor time.
        wake_ups: Times that it waited and was woken.
        memory_mb: Resident memory.
    """

    cpu_s: float
    wake_ups: int
    memory_mb: float


def main(args: list[str]) -> None:
    """Prints the median over the relay hosts for each number of hosts."""
    print(f"{'hosts':>5} {'core %':>7} {'wake-ups/s':>10} {'MB':>6}")
    for hosts in [int(arg) for arg in args] or HOST_COUNTS:
        asyncio.run(_measure(hosts))


async def _measure(hosts: int) -> None:
    with tempfile.TemporaryDirectory() as folder:
        async with Fleet(pathlib.Path(folder), relays=hosts) as fleet:
            await asyncio.sleep(SETTLE_S)
            before = [_read(relay) for relay in fleet.relay_hosts]
            await asyncio.sleep(MEASURE_S)
            after = [_read(relay) for relay in fleet.relay_hosts]
    pairs = list(zip(before, after, strict=True))
    core = statistics.median(b.cpu_s - a.cpu_s for a, b in pairs) / MEASURE_S * 100
    wake_ups = statistics.median(b.wake_ups - a.wake_ups for a, b in pairs) / MEASURE_S
    memory = statistics.median(b.memory_mb for b in after)
    print(f"{hosts:5} {core:7.2f} {wake_ups:10.1f} {memory:6.1f}", flush=True)


def _read(process: HostProcess) -> Reading:
    folder = pathlib.Path("/proc") / str(process.proc.pid)
    fields = (folder / "stat").read_text().rpartition(")")[2].split()
    status = (folder / "status").read_text()
    return Reading(
        cpu_s=(int(fields[11]) + int(fields[12])) / TICKS_PER_S,
        wake_ups=int(WAITS.search(status)[1]),
        memory_mb=int(MEMORY.search(status)[1]) / 1024,
    )
