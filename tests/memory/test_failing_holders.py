"""Parts of a process that fail while it gives up memory (FAULT)."""

import asyncio

import pytest

from magnoliaroad.memory import MemoryHolder, MemoryWatch
from magnoliaroad.memory.settings import MemorySettings

CFG = MemorySettings(limit_mb=100, check_interval_s=0.01)


@pytest.mark.parametrize("error", [OSError("not connected"), RuntimeError("x")])
async def test_a_holder_that_fails_does_not_end_the_watch_or_the_host(error):
    shed = []

    def fail(size):
        raise error

    def give_up(size):
        shed.append(size)
        return size

    resident = 80_000_000

    def read_resident():
        nonlocal resident
        resident += 1_000_000
        return resident

    holders = [
        MemoryHolder("failing", lambda: 20_000_000, fail),
        MemoryHolder("callers", lambda: 10_000_000, give_up),
    ]
    watch = MemoryWatch(CFG, holders, read_resident)
    await watch.start()
    async with asyncio.timeout(2.0):
        while not shed and not watch.crashed:
            await asyncio.sleep(0.01)
    assert not watch.crashed
    await watch.stop()
