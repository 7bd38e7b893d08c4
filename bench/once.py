"""Measures the latency that recording an intent adds, and the memory of a record.

Calls to the same plain service alternate between a repeatable route, which records
nothing, and one that is not repeatable.
"""

import asyncio
import json
import pathlib
import statistics
import tempfile
import time
import tracemalloc

import aiohttp

from bench._faults_fleet import Fleet
from magnoliaroad.once import Attempt, Conclusion, Intent, Ledger, StoredAnswer
from magnoliaroad.verdict import Verdict

CALLS = 400
WARM_UP_CALLS = 40
RECORDS = 20_000
ANSWER_BYTES = 200


async def timed_call(
    session: aiohttp.ClientSession, url: str, route: str, key: str
) -> float:
    """Makes one call and returns its latency in seconds."""
    headers = {"Authorization": "Bearer key-arcades", "Idempotency-Key": key}
    target = f"{url}/services/{route}/pay?delay_s=0"
    started = time.perf_counter()
    async with session.post(target, json={"order": key}, headers=headers) as resp:
        data = await resp.read()
    if resp.status != 200:
        raise RuntimeError(f"{route}: status {resp.status}: {data[:200]!r}")
    return time.perf_counter() - started


async def latencies() -> dict[str, list[float]]:
    """Returns the latencies in seconds by route, without the warm-up calls."""
    fleet = Fleet(pathlib.Path(tempfile.mkdtemp(prefix="once-")))
    times: dict[str, list[float]] = {"lookups": [], "payouts": []}
    try:
        await fleet.start()
        await asyncio.sleep(3)
        async with aiohttp.ClientSession() as session:
            for number in range(CALLS + WARM_UP_CALLS):
                url = fleet.url(1 + number % 5)
                for route, figures in times.items():
                    took_s = await timed_call(session, url, route, f"{number}")
                    figures.append(took_s)
    finally:
        await fleet.stop()
    return {route: figures[WARM_UP_CALLS:] for route, figures in times.items()}


def record_bytes() -> float:
    """Returns the memory of a finished call's record in the ledger, in bytes."""
    ledger = Ledger()
    tracemalloc.start()
    for number in range(RECORDS):
        intent = Intent("arcades", "payouts", f"key-{number}", f"{number:064x}")
        attempt = Attempt(intent, f"{number:032x}", "host-1")
        ledger.begin(attempt, 0.0)
        body = f"{number:0{ANSWER_BYTES}d}".encode()
        ran = Conclusion(Verdict.RAN, StoredAnswer(200, (), body))
        write = ledger.finish(attempt, ran, 0.0)
        assert write is not None
        ledger.apply_finish(write)
    used, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return used / RECORDS


def main(args: list[str]) -> None:
    times = asyncio.run(latencies())
    unrecorded, recorded = times["lookups"], times["payouts"]
    figures = {
        "unrecorded_p50_ms": statistics.median(unrecorded) * 1000,
        "recorded_p50_ms": statistics.median(recorded) * 1000,
        "added_p50_ms": (statistics.median(recorded) - statistics.median(unrecorded))
        * 1000,
        "unrecorded_p99_ms": statistics.quantiles(unrecorded, n=100)[98] * 1000,
        "recorded_p99_ms": statistics.quantiles(recorded, n=100)[98] * 1000,
        "record_bytes": record_bytes(),
    }
    print(json.dumps({name: round(value, 2) for name, value in figures.items()}))
