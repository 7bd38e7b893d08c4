import asyncio
import gc
import socket
import tempfile

import pytest
from loguru import logger

from magnoliaroad.memory import MemoryHolder, MemoryWatch
from magnoliaroad.memory.resident import resident_bytes
from magnoliaroad.memory.settings import MemorySettings
from magnoliaroad.memory.unread import unread_bytes

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


async def test_garbage_is_collected_as_memory_grows():
    kept = []

    class Cycle:
        def __init__(self):
            self.own = self

        def __del__(self):
            kept.append(1)

    Cycle()
    gc.disable()
    try:
        await run_for(MemoryWatch(CFG, [], lambda: 50_000_000))
    finally:
        gc.enable()
    assert kept


async def test_the_holder_of_most_is_asked_first_until_enough_is_free(lines):
    asked = []

    def holder(name, held, shed):
        def shed_some(size):
            asked.append((name, size))
            return shed

        return MemoryHolder(name, lambda: held, shed_some)

    resident = iter([75_000_000, 75_000_000])
    holders = [
        holder("small", 1_000_000, 900_000),
        holder("large", 9_000_000, 2_000_000),
        holder("middle", 4_000_000, 3_000_000),
    ]
    watch = MemoryWatch(CFG, holders, lambda: next(resident, 30_000_000), lambda: 0)
    await run_for(watch)
    assert asked == [("large", 5_000_000), ("middle", 3_000_000)]
    given_up = [line["extra"] for line in lines if line["message"] == "memory given up"]
    assert [(line["holder"], line["shed"]) for line in given_up] == [
        ("large", 2_000_000),
        ("middle", 3_000_000),
    ]


@pytest.mark.parametrize(
    ("resident", "given_up"), [(49_000_000, []), (60_000_000, [15_000_000])]
)
async def test_bytes_that_were_not_read_count_near_the_limit(resident, given_up):
    """Guards against a process that the platform ends for what it has not read."""
    asked = []

    def shed(size):
        asked.append(size)
        return size

    holders = [MemoryHolder("callers", lambda: 9_000_000, shed)]
    await run_for(MemoryWatch(CFG, holders, lambda: resident, lambda: 25_000_000))
    assert asked == given_up


def test_unread_bytes_are_those_of_the_sockets():
    before = unread_bytes()
    own, other = socket.socketpair()
    with own, other, socket.create_server(("127.0.0.1", 0)), tempfile.TemporaryFile():
        other.sendall(b"x" * 5000)
        assert unread_bytes() == before + 5000
        own.recv(2000)
        assert unread_bytes() == before + 3000
    assert unread_bytes() == before


async def test_memory_is_watched_again_once_it_can_be_read(lines):
    told = iter([OSError("none left"), OSError("none left")])

    def read():
        resident = next(told, 60_000_000)
        if isinstance(resident, OSError):
            raise resident
        return resident

    await run_for(MemoryWatch(CFG, [], read))
    events = [line["message"] for line in lines]
    assert events.count("memory is not watched") == 1
    assert "memory high" in events
