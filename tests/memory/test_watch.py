import asyncio

import pytest
from loguru import logger

from magnoliaroad.memory import MemoryHolder, MemoryWatch
from magnoliaroad.memory.resident import resident_bytes
from magnoliaroad.memory.settings import MemorySettings

CFG = MemorySettings(limit_mb=100, check_interval_s=0.01)


@pytest.fixture
def lines():
    written = []
    number = logger.add(lambda line: written.append(line.record), level="INFO")
    yield written
    logger.remove(number)


async def run_for(watch, seconds=0.1):
    await watch.start()
    await asyncio.sleep(seconds)
    await watch.stop()


async def test_high_memory_is_logged_by_holder_once_in_an_interval(lines):
    holders = [
        MemoryHolder("requests", lambda: 30_000_000),
        MemoryHolder("answers", lambda: 5_000_000),
    ]
    await run_for(MemoryWatch(CFG, holders, lambda: 60_000_000))
    found = [line["extra"] for line in lines if line["message"] == "memory high"]
    assert found == [
        {
            "resident": 60_000_000,
            "limit": 100_000_000,
            "held": {"requests": 30_000_000, "answers": 5_000_000},
            "rest": 25_000_000,
        }
    ]


async def test_low_memory_is_not_logged(lines):
    await run_for(MemoryWatch(CFG, [], lambda: 39_000_000))
    assert not [line for line in lines if line["message"] == "memory high"]


async def test_memory_that_is_not_told_ends_only_the_watch(lines):
    def fail():
        raise OSError("no such file")

    watch = MemoryWatch(CFG, [], fail)
    await run_for(watch)
    assert not watch.crashed
    assert len([x for x in lines if x["message"] == "memory is not watched"]) == 1


def test_resident_memory_is_read():
    assert 1_000_000 < resident_bytes() < 100_000_000_000
