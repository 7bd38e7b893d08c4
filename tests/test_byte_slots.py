import asyncio

import pytest

from magnoliaroad.byte_slots import ByteSlots


async def run(slots, size, log, name, until):
    async with slots.hold(size):
        log.append(name)
        await until.wait()


async def test_operations_wait_in_order_while_others_hold_the_bytes():
    slots, log, until = ByteSlots(10), [], asyncio.Event()
    tasks = [
        asyncio.create_task(run(slots, size, log, name, until))
        for name, size in (("a", 6), ("b", 4), ("c", 8), ("d", 1))
    ]
    await asyncio.sleep(0)
    assert log == ["a", "b"]
    assert slots.held_bytes == 10
    until.set()
    await asyncio.gather(*tasks)
    assert log == ["a", "b", "c", "d"]
    assert slots.held_bytes == 0


async def test_an_operation_above_the_limit_runs_by_itself():
    slots, log, until = ByteSlots(10), [], asyncio.Event()
    large = asyncio.create_task(run(slots, 50, log, "large", until))
    small = asyncio.create_task(run(slots, 1, log, "small", until))
    await asyncio.sleep(0)
    assert log == ["large"]
    until.set()
    await asyncio.gather(large, small)
    assert log == ["large", "small"]


@pytest.mark.parametrize("free_first", [False, True])
async def test_an_operation_that_is_cancelled_as_it_waits_holds_nothing(free_first):
    slots, log, until = ByteSlots(10), [], asyncio.Event()
    first = asyncio.create_task(run(slots, 10, log, "first", until))
    second = asyncio.create_task(run(slots, 10, log, "second", until))
    third = asyncio.create_task(run(slots, 10, log, "third", until))
    await asyncio.sleep(0)
    if free_first:
        first.cancel()
        await asyncio.wait({first})
    second.cancel()
    until.set()
    await asyncio.gather(first, second, third, return_exceptions=True)
    assert "third" in log
    assert slots.held_bytes == 0


async def test_an_operation_that_fails_frees_its_bytes():
    slots = ByteSlots(10)
    with pytest.raises(ValueError):
        async with slots.hold(10):
            raise ValueError
    assert slots.held_bytes == 0
