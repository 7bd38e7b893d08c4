"""The product's own host while all of its background tasks fail (FAULT)."""

import asyncio

from magnoliaroad.app import HostApplication
from magnoliaroad.standins.deployment import demo_settings, deployment
from tests.path.test_whole_path import send_chat, send_payment
from tests.platform.failing_tasks import FailingTask, tasks_of

FAILING_S = 1.0


async def serve(parts, number):
    answer = await send_chat(parts, "hello", f"p-{number}")
    assert answer["choices"]
    answer = await send_payment(parts, f"payment-{number}")
    assert "error" not in answer


async def test_a_host_serves_while_its_tasks_fail_and_restarts_them(
    monkeypatch, logged
):
    named = tasks_of(HostApplication(demo_settings("http://127.0.0.1:1")))
    failing = {}
    for task in set(named.values()):
        failing[task] = FailingTask(task.function, LookupError("unexpected"))
        monkeypatch.setattr(task, "function", failing[task])
    async with deployment() as parts:
        await serve(parts, 0)
        for task in failing.values():
            task.failing.set()
        for number in range(1, 11):
            await serve(parts, number)
            await asyncio.sleep(FAILING_S / 10)
        for task in failing.values():
            task.failing.clear()
        async with asyncio.timeout(10.0):
            # One ends by itself, once the host has a configuration.
            while not all(task.running or task.ended for task in failing.values()):
                await asyncio.sleep(0.02)
        await serve(parts, 11)
        assert not parts.app.crashed
    failed = {
        line["task"] for line in logged if line["event"] == "background task failed"
    }
    assert failed == {*named}
