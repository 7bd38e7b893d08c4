"""Compares a host with a bare relay; the two take turns within one run."""

import asyncio
import contextlib
import json
import os
import pathlib
import statistics
import time
from collections.abc import AsyncIterator
from typing import NamedTuple

import aiohttp

from bench._spawn import first_line, spawned
from magnoliaroad.standins.deployment import DEMO_KEY

CALLERS = 32
ROUNDS = 5
ROUND_S = 2.0
SEQUENTIAL_CALLS = 200
STREAM_EVENTS = 200
STREAM_CALLERS = 8
SMALL_ANSWER_TOKENS = 8

BODY = {
    "model": "planner",
    "messages": [{"role": "user", "content": "Draft the fixtures."}],
    "max_tokens": 1000,
    "stream": True,
    "stream_options": {"include_usage": True},
}
HEADERS = {"Authorization": f"Bearer {DEMO_KEY}"}


class Server(NamedTuple):
    """A server process.

    Attributes:
        url: Base URL.
        pid: Process id.
    """

    url: str
    pid: int

    def cpu_s(self) -> float:
        """Returns the processor time used by the process, in seconds."""
        text = pathlib.Path(f"/proc/{self.pid}/stat").read_text()
        fields = text.rpartition(")")[2].split()
        ticks = int(fields[11]) + int(fields[12])
        return ticks / os.sysconf("SC_CLK_TCK")


async def call(session: aiohttp.ClientSession, url: str) -> int:
    """Makes one call; returns the number of events in the answer."""
    target = f"{url}/v1/chat/completions"
    async with session.post(target, json=BODY, headers=HEADERS) as resp:
        data = await resp.read()
    if resp.status != 200 or not data.rstrip().endswith(b"[DONE]"):
        raise RuntimeError(f"{url}: status {resp.status}: {data[:200]!r}")
    return data.count(b"data: ")


async def sequential_p50_s(session: aiohttp.ClientSession, url: str) -> float:
    """Returns the median latency of sequential calls, in seconds."""
    times = []
    for _ in range(SEQUENTIAL_CALLS):
        started = time.perf_counter()
        await call(session, url)
        times.append(time.perf_counter() - started)
    return statistics.median(times)


async def measure_rates(
    session: aiohttp.ClientSession, url: str, callers: int
) -> tuple[float, float]:
    """Returns calls and events per second with ``callers`` concurrent callers."""
    started = time.perf_counter()
    deadline = started + ROUND_S

    async def run_caller() -> tuple[int, int]:
        calls = events = 0
        while time.perf_counter() < deadline:
            events += await call(session, url)
            calls += 1
        return calls, events

    counts = await asyncio.gather(*(run_caller() for _ in range(callers)))
    took_s = time.perf_counter() - started
    return sum(c for c, _ in counts) / took_s, sum(e for _, e in counts) / took_s


@contextlib.asynccontextmanager
async def servers(tokens: int) -> AsyncIterator[dict[str, Server]]:
    """Runs a relay and a host in front of one engine; yields both by name."""
    module = ("-m", "bench._overhead_process")
    async with spawned(*module, "engine", str(tokens)) as engine:
        engine_url = await first_line(engine)
        async with (
            spawned(*module, "relay", engine_url) as relay,
            spawned(*module, "host", engine_url) as host,
        ):
            yield {
                "relay": Server(await first_line(relay), relay.pid),
                "host": Server(await first_line(host), host.pid),
            }


async def measure() -> dict[str, float]:
    """Runs the benchmark and returns its results by name."""
    sequential: dict[str, list[float]] = {"relay": [], "host": []}
    calls: dict[str, list[float]] = {"relay": [], "host": []}
    cpu: dict[str, list[float]] = {"relay": [], "host": []}
    events: dict[str, list[float]] = {"relay": [], "host": []}
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector) as session:
        async with servers(SMALL_ANSWER_TOKENS) as running:
            for _ in range(ROUNDS):
                for name, server in running.items():
                    sequential[name].append(await sequential_p50_s(session, server.url))
                    cpu_s = server.cpu_s()
                    rate = (await measure_rates(session, server.url, CALLERS))[0]
                    calls[name].append(rate)
                    cpu[name].append((server.cpu_s() - cpu_s) / (rate * ROUND_S))
        async with servers(STREAM_EVENTS) as running:
            for _ in range(ROUNDS):
                for name, server in running.items():
                    rate = await measure_rates(session, server.url, STREAM_CALLERS)
                    events[name].append(rate[1])
    return {
        "p50_added_ratio": _ratio(sequential),
        "throughput_ratio": _ratio(calls),
        "stream_events_per_s_ratio": _ratio(events),
        "relay_calls_per_s": statistics.median(calls["relay"]),
        "host_calls_per_s": statistics.median(calls["host"]),
        "relay_p50_ms": statistics.median(sequential["relay"]) * 1000,
        "host_p50_ms": statistics.median(sequential["host"]) * 1000,
        "relay_cpu_ms_per_call": statistics.median(cpu["relay"]) * 1000,
        "host_cpu_ms_per_call": statistics.median(cpu["host"]) * 1000,
    }


def _ratio(figures: dict[str, list[float]]) -> float:
    return statistics.median(figures["host"]) / statistics.median(figures["relay"])


def main(args: list[str]) -> None:
    figures = asyncio.run(measure())
    print(json.dumps({name: round(value, 3) for name, value in figures.items()}))
