"""Crowds of callers that stay within no limit, where they were not tried before.

As in ``test_callers_out_of_bounds``, whose crowd and bounds these keep: the process
lives within its memory and descriptors and answers one ordinary request. None looks at
times. The crowds and bounds were fixed before the product changed.
"""

import asyncio
import contextlib
import os
import resource

import pytest

from tests.platform.crowd import CROWD, Crowd, until_still
from tests.platform.deployment import config, route
from tests.platform.host_process import (
    HEADERS,
    RECORD_LISTENERS,
    host_process,
    read_metrics,
)
from tests.platform.raw_caller import (
    SMALL_BUFFER,
    raw_connection,
    read_answer,
    request_bytes,
)
from tests.platform.test_callers_out_of_bounds import (
    CHUNKED,
    LIMIT_MB,
    MEMORY,
    MOST_DESCRIPTORS,
    both,
    check_process,
    extensions,
    hold,
    large_chunks,
    pay,
    slow_reading,
    small_chunks,
    targets,
)

# Connections of a large crowd, and the memory of the smallest machines.
LARGE_CROWD = 400
LARGE_LIMIT_MB = 128
# Descriptors of a host that runs out of them: fewer than half of the crowds need.
FEW_DESCRIPTORS = 150
# Descriptors of a host whose callers have two connections each.
MOST_DESCRIPTORS_OF_PAIRS = MOST_DESCRIPTORS + 2 * CROWD
# Routes whose streams are not ended by their time limit.
PATIENT_ROUTES = [
    route("plan", "/plan/", "streaming", "lm", resumable=True, timeout_ms=60_000),
    route("pay", "/pay/", "unsafe", "app"),
]
# Turns of each program while an earlier one is read slowly.
FURTHER_TURNS = 3


async def large_trailers(crowd, reader, writer):
    await crowd.send(writer, request_bytes(CHUNKED, "/pay/x", "POST"))
    await crowd.send(writer, b"1\r\nx\r\n0\r\n")
    for _ in range(40):
        await crowd.send(writer, b"X-Field: " + b"a" * 8000 + b"\r\n")
    await hold(reader)


async def small_trailers(crowd, reader, writer):
    await crowd.send(writer, request_bytes(CHUNKED, "/pay/x", "POST"))
    await crowd.send(writer, b"1\r\nx\r\n0\r\n")
    for _ in range(40):
        await crowd.send(writer, b"a:b\r\n" * 1000)
    await hold(reader)


@pytest.mark.parametrize("act", [large_trailers, small_trailers])
@pytest.mark.parametrize("name", ["callers", "metrics"])
async def test_trailers_leave_a_host_alive_and_serving(tmp_path, act, name):
    async with host_process(tmp_path, *targets(), memory=MEMORY) as host:
        await host.until_ready()
        async with Crowd(host.listen[name], act) as crowd:
            await until_still(crowd)
            check_process(host)
            assert await pay(host) == 200
        check_process(host)


@pytest.mark.parametrize(
    "act", [large_chunks, small_chunks, extensions, large_trailers, small_trailers]
)
async def test_a_crowd_at_the_metrics_leaves_a_record_host_alive(tmp_path, act):
    async with host_process(
        tmp_path,
        names=RECORD_LISTENERS,
        data_folder=str(tmp_path / "data"),
        memory=MEMORY,
    ) as host:
        await host.until_logged("host started")
        assert await read_metrics(host.listen["metrics"]) == 200
        async with Crowd(host.listen["metrics"], act) as crowd:
            await until_still(crowd)
            check_process(host)
            assert await read_metrics(host.listen["metrics"]) == 200
        check_process(host)


async def test_crowds_leave_a_host_without_descriptors_alive(tmp_path):
    """Both kinds at once, and more connections than the host has descriptors."""
    async with host_process(tmp_path, *targets(), memory=MEMORY) as host:
        await host.until_ready()
        limits = (FEW_DESCRIPTORS, FEW_DESCRIPTORS)
        resource.prlimit(host.proc.pid, resource.RLIMIT_NOFILE, limits)
        async with contextlib.AsyncExitStack() as stack:
            for act in (large_chunks, small_chunks, slow_reading):
                crowd = Crowd(host.listen["callers"], act, SMALL_BUFFER)
                await stack.enter_async_context(crowd)
            await host.until_logged("library message")
            await until_still(crowd)
            assert host.proc.returncode is None
            assert host.peak_mb() < LIMIT_MB
        async with asyncio.timeout(30.0):
            while await pay_if_possible(host) != 200:
                await asyncio.sleep(0.2)
        check_process(host)


async def pay_if_possible(host):
    with contextlib.suppress(OSError, asyncio.IncompleteReadError):
        return await pay(host)


async def test_slow_readers_whose_programs_go_on_leave_a_host_alive(tmp_path):
    """Long answers of engines are read slowly while their programs send more turns."""
    number = iter(range(CROWD))
    # Events of 12 KB, more than the buffers between a target and its caller hold.
    path = "/plan/large/x"
    patient = {**HEADERS, "Magnoliaroad-Deadline-Ms": "60000"}

    async def act(crowd, reader, writer):
        name = f"program-{next(number)}"
        headers = {**patient, "Magnoliaroad-Program-Id": name}
        await crowd.send(writer, request_bytes(headers, path, "POST", body=b"x"))
        await reader.read(500)
        for turn in range(FURTHER_TURNS):
            other = {**headers, "Magnoliaroad-Request-Id": f"{name}-{turn}"}
            async with raw_connection(host.listen["callers"]) as (its_reader, its):
                its.write(request_bytes(other, path, "POST", body=b"x"))
                await read_answer(its_reader, "POST")
            crowd.turns += 1
            await reader.read(500)
        while await reader.read(500):
            await asyncio.sleep(0.05)

    engines = targets()
    engines[1].events = 40
    async with host_process(tmp_path, *engines, memory=MEMORY) as host:
        await host.until_ready()
        host.kv.write("op/config", config(version=4, routes=PATIENT_ROUTES))
        async with asyncio.timeout(10.0):
            while 4 not in [line.get("version") for line in host.lines()]:
                await asyncio.sleep(0.02)
        crowd = Crowd(host.listen["callers"], act, SMALL_BUFFER)
        crowd.turns = 0
        async with crowd:
            while crowd.turns < CROWD * FURTHER_TURNS / 2:
                await asyncio.sleep(0.2)
                check_process(host, MOST_DESCRIPTORS_OF_PAIRS)
            assert await pay(host) == 200
        check_process(host, MOST_DESCRIPTORS_OF_PAIRS)


@pytest.mark.parametrize("act", [large_chunks, small_chunks, slow_reading, both])
async def test_hundreds_of_callers_leave_a_host_alive_and_serving(tmp_path, act):
    memory = {"limit_mb": LARGE_LIMIT_MB}
    async with host_process(tmp_path, *targets(), memory=memory) as host:
        await host.until_ready()
        crowd = Crowd(host.listen["callers"], act, SMALL_BUFFER, LARGE_CROWD)
        async with crowd:
            await until_still(crowd)
            assert await pay(host) == 200
        assert host.proc.returncode is None
        assert host.peak_mb() < LARGE_LIMIT_MB
        descriptors = os.listdir(f"/proc/{host.proc.pid}/fd")
        assert len(descriptors) <= MOST_DESCRIPTORS - 2 * CROWD + 2 * LARGE_CROWD
