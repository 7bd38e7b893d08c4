"""Background tasks that fail each time that they run (FAULT).

Guards against hosts that end by themselves: a cause that several hosts met ended all
of them at the same moment, and again after each start.
"""

import asyncio
import os
import pathlib
import signal
import sys

import aiohttp
import pytest

from magnoliaroad.background import BackgroundTask
from magnoliaroad.relay.metrics_server import MetricsServer
from tests.platform.deployment import Deployment
from tests.platform.failing_tasks import (
    FailingTask,
    declared_tasks,
    service_classes,
    tasks_of,
)
from tests.platform.host_process import (
    HEADERS,
    RECORD_LISTENERS,
    RELAY_LISTENERS,
    host_process,
)
from tests.platform.target_standin import TargetStandin
from tests.soak.fleet import ROOT

FAILING_S = 1.0
# Lines about one task of one host in that time: its first, second and fourth failure.
MAX_LINES = 3
# The same for a task that does not recover in three seconds; there are mirrors of three
# prefixes in a host.
MAX_LINES_FOR_GOOD = 9
# The only task that ends by itself, as soon as metrics are served.
LISTENER = "MetricsServer._listen"


def deployment(tmp_path):
    targets = TargetStandin("i-app", "app"), TargetStandin("i-lm", "lm")
    return Deployment(tmp_path, *targets, escrow=True)


def application_tasks():
    """Returns the tasks of a relay and a record host, by name."""
    built = deployment(pathlib.Path("unused"))
    built.kv.url = "http://127.0.0.1:1"
    return {**tasks_of(built.application()), **tasks_of(built.record_application())}


TASKS = application_tasks()


def failures(logged, name):
    return [
        line
        for line in logged
        if line["event"] == "background task failed" and line["task"] == name
    ]


def replace_task(monkeypatch, task):
    failing = FailingTask(task.function, LookupError("unexpected"))
    monkeypatch.setattr(task, "function", failing)
    return failing


def fail_for(tasks, limit_s):
    """Lets tasks fail from now on, for a while."""
    for task in tasks:
        task.failing.set()
        asyncio.get_running_loop().call_later(limit_s, task.failing.clear)


async def serve(deployed):
    """Sends a payment and a turn, which must be served."""
    status, _, body = await deployed.call("/pay/x", "POST", b"m")
    assert (status, body) == (200, b"whole")
    status, _, body = await deployed.turn()
    assert (status, body is None) == (200, False)


async def serve_for(deployed, limit_s):
    loop = asyncio.get_running_loop()
    ends_at = loop.time() + limit_s
    while loop.time() < ends_at:
        await serve(deployed)
        await asyncio.sleep(0.1)


def running_hosts(deployed):
    hosts = [*deployed.relays, deployed.records]
    return [host for host in hosts if not host.should_stop]


# By task: services of one base class share theirs.
@pytest.mark.parametrize("name", sorted({t: n for n, t in TASKS.items()}.values()))
async def test_a_host_serves_while_a_background_task_fails_and_restarts_it(
    tmp_path, logged, monkeypatch, name
):
    failing = replace_task(monkeypatch, TASKS[name])
    async with deployment(tmp_path) as deployed:
        await deployed.start_records()
        await serve(deployed)
        running = failing.running
        assert running
        failing.failing.set()
        await serve_for(deployed, FAILING_S)
        assert failing.failures > running
        assert len(running_hosts(deployed)) == 2
        failing.failing.clear()
        await deployed.until(lambda: failing.running == running)
        await serve(deployed)
    lines = [line for other in TASKS for line in failures(logged, other)]
    assert lines
    assert {line["task"].partition(".")[2] for line in lines} == {
        name.partition(".")[2]
    }
    assert len(lines) <= running * MAX_LINES


async def test_hosts_whose_tasks_all_fail_at_the_start_serve_once_they_do_not(
    tmp_path, logged, monkeypatch
):
    listener = replace_task(monkeypatch, MetricsServer._listen)
    failing = [replace_task(monkeypatch, task) for task in set(TASKS.values())]
    fail_for([*failing, listener], FAILING_S)
    async with deployment(tmp_path) as deployed:
        fail_for([*failing, listener], FAILING_S)
        await deployed.start_records()
        await serve(deployed)
        await deployed.until(lambda: all(task.running for task in failing))
        await deployed.until(lambda: listener.ended == 2)
        for host in running_hosts(deployed):
            async with (
                aiohttp.ClientSession() as session,
                session.get(f"http://{host.cfg.listen.metrics}/metrics") as resp,
            ):
                assert "background_failures_total" in await resp.text()
        assert len(running_hosts(deployed)) == 2
        started = {*tasks_of(deployed.relays[0]), *tasks_of(deployed.records)}
    assert started == {*TASKS, LISTENER}
    assert all(failures(logged, name) for name in started)


def cannot_send_heartbeats(host, monkeypatch):
    monkeypatch.setattr(host.fleet, "_own_heartbeat", lambda **kwargs: {}["missing"])


async def test_callers_go_to_other_hosts_while_one_cannot_send_heartbeats(
    tmp_path, monkeypatch
):
    target = TargetStandin("i-app", "app")
    async with Deployment(tmp_path, target, hosts=3) as deployed:
        silent, *others = deployed.relays
        await deployed.until(lambda: len(silent.fleet.count_hosts()) == 3)
        with monkeypatch.context() as patch:
            cannot_send_heartbeats(silent, patch)
            await deployed.until(lambda: not silent._ready())
            assert all(host._ready() for host in others)
            status, _, _ = await deployed.call("/pay/x", "POST", b"m")
            assert status == 200
        await deployed.until(silent._ready)


async def test_hosts_that_all_cannot_send_heartbeats_stay_ready(tmp_path, monkeypatch):
    target = TargetStandin("i-app", "app")
    async with Deployment(tmp_path, target, hosts=3) as deployed:
        first = deployed.relays[0]
        await deployed.until(lambda: len(first.fleet.count_hosts()) == 3)
        with monkeypatch.context() as patch:
            for host in deployed.relays:
                cannot_send_heartbeats(host, patch)
            for _ in range(300):
                assert all(host._ready() for host in deployed.relays)
                await asyncio.sleep(0.01)
            # They know that they do not hear each other.
            assert not any(host.fleet._tracker.in_contact() for host in deployed.relays)
            status, _, _ = await deployed.call("/pay/x", "POST", b"m")
            assert status == 200


def fail_first(monkeypatch, store, name, times):
    """Makes the first calls of a method fail unexpectedly; returns a list of calls."""
    call, calls = getattr(store, name), []

    async def fail_or_call(*args, **kwargs):
        calls.append(args)
        if len(calls) <= times:
            raise TypeError("unexpected")
        return await call(*args, **kwargs)

    monkeypatch.setattr(store, name, fail_or_call)
    return calls


async def test_a_record_host_retires_after_writes_that_failed_unexpectedly(
    tmp_path, monkeypatch
):
    async with deployment(tmp_path) as deployed:
        await deployed.start_records()
        fail_first(monkeypatch, deployed.records.store, "put", 2)
        deployed.kv.write("op/retire/records-1", {"deadline_s": 10})

        def is_completed():
            status = deployed.kv.state.get("status/retire/records-1")
            return status is not None and b"completed" in status.value

        await deployed.until(is_completed)


async def test_a_record_host_lists_hosts_soon_after_a_list_that_failed_unexpectedly(
    tmp_path, monkeypatch
):
    async with deployment(tmp_path) as deployed:
        await deployed.start_records()
        calls = fail_first(monkeypatch, deployed.records.store, "list", 2)
        deployed.records._relist.set()
        await deployed.until(lambda: len(calls) == 3)


@pytest.mark.parametrize("kind", service_classes(), ids=lambda kind: kind.__name__)
def test_each_task_of_the_product_is_restarted(kind):
    plain = [
        name
        for name, task in declared_tasks(kind).items()
        if not isinstance(task, BackgroundTask)
    ]
    assert not plain


PROGRAM = ("-m", "tests.platform.failing_host", "1.0")


@pytest.mark.parametrize("names", [RELAY_LISTENERS, RECORD_LISTENERS], ids=len)
async def test_a_process_whose_tasks_all_fail_for_good_does_not_end(
    tmp_path, monkeypatch, names
):
    monkeypatch.setenv("PYTHONPATH", os.pathsep.join([str(ROOT), *sys.path]))
    target = TargetStandin("i-app", "app")
    async with host_process(tmp_path, target, names=names, program=PROGRAM) as host:
        await host.until_logged("host started")
        relays = "callers" in names
        if relays:
            await host.until_ready()
        await host.until_logged("background task failed")
        for number in range(20):
            if relays:
                assert await pay(host, f"request-{number}") == 200
            await asyncio.sleep(0.1)
        assert host.proc.returncode is None
        host.proc.send_signal(signal.SIGTERM)
        async with asyncio.timeout(10.0):
            assert await host.proc.wait() == 0
    lines = host.logged("background task failed")
    assert all("TimeoutError" in line["trace"] for line in lines)
    assert len(lines) <= MAX_LINES_FOR_GOOD * len({line["task"] for line in lines})


async def pay(host, request):
    headers = {**HEADERS, "Magnoliaroad-Request-Id": request}
    url = f"http://{host.listen['callers']}/pay/x"
    async with (
        aiohttp.ClientSession() as session,
        session.post(url, data=b"m", headers=headers) as resp,
    ):
        return resp.status
