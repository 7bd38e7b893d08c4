"""Reads that are made once for all who wait for the same thing."""

import asyncio

import pytest

from magnoliaroad.records.shared_reads import SharedReads


class SlowSource:
    """Returns each key after a while, or raises it if it is an exception."""

    def __init__(self):
        self.begun, self.cancelled = [], []

    async def read(self, key):
        self.begun.append(key)
        try:
            await asyncio.sleep(0.01)
        except asyncio.CancelledError:
            self.cancelled.append(key)
            raise
        if isinstance(key, Exception):
            raise key
        return key


@pytest.fixture
def source():
    return SlowSource()


async def test_reads_at_the_same_time_are_one(source):
    reads = SharedReads(source.read)
    keys = ["a", "b"] * 10
    assert await asyncio.gather(*map(reads.get, keys)) == keys
    assert sorted(source.begun) == ["a", "b"]
    assert await reads.get("a") == "a"
    assert source.begun.count("a") == 2


async def test_a_read_goes_on_until_nobody_waits_for_it(source):
    reads = SharedReads(source.read)
    tasks = [asyncio.create_task(reads.get("a")) for _ in range(3)]
    await asyncio.sleep(0)
    tasks[0].cancel()
    assert await tasks[1] == await tasks[2] == "a"
    assert source.cancelled == []
    alone = asyncio.create_task(reads.get("b"))
    await asyncio.sleep(0.001)
    alone.cancel()
    with pytest.raises(asyncio.CancelledError):
        await alone
    assert source.cancelled == ["b"]
    assert await reads.get("b") == "b"


async def test_all_who_wait_get_the_error(source):
    reads, error = SharedReads(source.read), ValueError("odd")
    results = await asyncio.gather(
        *(reads.get(error) for _ in range(3)), return_exceptions=True
    )
    assert results == [error] * 3
    assert source.begun == [error]
