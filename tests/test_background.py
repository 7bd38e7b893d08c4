"""Restarts of background tasks that fail."""

import asyncio
import time

import pytest
from loguru import logger
from mode import Service

from magnoliaroad import background
from magnoliaroad.background import (
    FAILURES,
    RESTART_LIMIT_S,
    STABLE_S,
    RestartPolicy,
    background_task,
)

ERRORS = [LookupError("x"), MemoryError(), RecursionError(), asyncio.CancelledError()]


class Worker(Service):
    """A service whose task fails a few times and then runs on."""

    def __init__(self, exc, failures):
        super().__init__()
        self.exc = exc
        self.failures = failures
        self.started_at = []

    @background_task
    async def _work(self):
        self.started_at.append(time.monotonic())
        if len(self.started_at) <= self.failures:
            raise self.exc
        await asyncio.Event().wait()

    @property
    def is_down(self):
        return self._work.is_down(self)


async def until(condition):
    async with asyncio.timeout(10.0):
        while not condition():
            await asyncio.sleep(0.01)


@pytest.mark.parametrize("exc", ERRORS, ids=repr)
async def test_a_task_that_fails_is_restarted_and_logged(logged, exc):
    worker = Worker(exc, failures=3)
    await worker.start()
    await until(lambda: worker.is_down)
    await until(lambda: len(worker.started_at) == 4)
    assert not worker.crashed
    assert not worker.is_down
    async with asyncio.timeout(1.0):
        await worker.stop()
    lines = [line for line in logged if line["event"] == "background task failed"]
    assert [line["failures"] for line in lines] == [1, 2]
    assert {line["task"] for line in lines} == {"Worker._work"}
    assert FAILURES.get({"task": "Worker._work"}) >= 3


async def test_a_service_stops_while_its_task_waits_for_the_restart(monkeypatch):
    monkeypatch.setattr(background, "RESTART_S", 60.0)
    monkeypatch.setattr(background, "RESTART_LIMIT_S", 60.0)
    worker = Worker(LookupError("x"), failures=9)
    await worker.start()
    await until(lambda: worker.is_down)
    async with asyncio.timeout(1.0):
        await worker.stop()
    assert len(worker.started_at) == 1


async def test_a_log_sink_that_fails_does_not_end_the_restarts():
    def fail(message):
        raise MemoryError

    sink = logger.add(fail, catch=False)
    worker = Worker(LookupError("x"), failures=2)
    try:
        await worker.start()
        await until(lambda: len(worker.started_at) == 3)
    finally:
        logger.remove(sink)
    assert not worker.crashed
    await worker.stop()


async def test_hosts_do_not_restart_at_the_same_moment():
    workers = [Worker(LookupError("x"), failures=1) for _ in range(10)]
    for worker in workers:
        await worker.start()
    await until(lambda: all(len(worker.started_at) == 2 for worker in workers))
    delays = [last - first for first, last in (w.started_at for w in workers)]
    assert max(delays) - min(delays) > 0.005
    for worker in workers:
        await worker.stop()


def test_delays_grow_to_a_limit_and_few_failures_are_logged():
    policy, delays, logged = RestartPolicy(), [], 0
    for _ in range(1000):
        delays.append(policy.record_failure(0.0))
        logged += policy.is_logged
    assert delays == sorted(delays)
    assert delays[0] < delays[-1] == RESTART_LIMIT_S
    assert logged == 10


def test_delays_start_anew_after_a_long_run():
    policy = RestartPolicy()
    first = policy.record_failure(0.0)
    for _ in range(9):
        policy.record_failure(0.0)
    assert policy.record_failure(STABLE_S) == first
    assert policy.is_logged
