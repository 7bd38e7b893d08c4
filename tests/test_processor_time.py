"""Processor time by activity."""

import asyncio
import contextlib
import gc
import weakref

import pytest

from magnoliaroad import processor_time
from magnoliaroad.processor_time import OTHER, PROCESSOR_SECONDS, measured


class Clock:
    """Processor time that passes only where a test says so."""

    def __init__(self):
        self.now = 0.0

    def thread_time(self):
        return self.now

    process_time = thread_time


@pytest.fixture
def clock(monkeypatch):
    clock = Clock()
    monkeypatch.setattr(processor_time, "time", clock)
    monkeypatch.setattr(PROCESSOR_SECONDS, "_counts", {})
    return clock


def charged():
    counts = PROCESSOR_SECONDS.get_all()
    return {labels["activity"]: seconds for labels, seconds in counts}


async def test_only_the_steps_of_a_coroutine_are_charged(clock):
    async def work():
        clock.now += 1.0
        await asyncio.sleep(0.01)
        clock.now += 2.0
        return "done"

    async def others():
        clock.now += 10.0

    task = asyncio.create_task(others())
    assert await measured("work", work()) == "done"
    await task
    assert charged() == {"work": 3.0, OTHER: 10.0}


async def test_errors_and_cancellation_reach_the_coroutine(clock):
    async def fail():
        clock.now += 1.0
        raise ValueError("failed")

    async def wait():
        try:
            await asyncio.sleep(60.0)
        finally:
            clock.now += 2.0

    with pytest.raises(ValueError, match="failed"):
        await measured("fail", fail())
    with pytest.raises(TimeoutError):
        async with asyncio.timeout(0.01):
            await measured("wait", wait())
    assert charged() == {"fail": 1.0, "wait": 2.0, OTHER: 0.0}


def test_an_error_keeps_no_frames_alive(clock):
    class Held:
        pass

    async def wait(held):
        await asyncio.sleep(0)

    held = Held()
    ref = weakref.ref(held)
    gc.disable()
    try:
        steps = measured("wait", wait(held))
        steps.send(None)
        with contextlib.suppress(ValueError):
            steps.throw(ValueError())
        del held, steps
        assert ref() is None
    finally:
        gc.enable()


def test_the_start_is_charged_with_what_nothing_else_was(clock):
    clock.now = 1.0
    PROCESSOR_SECONDS.charge("task", 0.75)
    PROCESSOR_SECONDS.charge_rest("start")
    clock.now = 1.5
    assert charged() == {"task": 0.25, "start": 0.75, OTHER: 0.5}
