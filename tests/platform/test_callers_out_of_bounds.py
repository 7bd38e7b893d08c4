"""Crowds of callers that stay within no limit, at hosts with little memory.

Each test starts a process of the system, lets a small crowd press on it, and checks
that the process lives within its memory and descriptors and answers one ordinary
request. None looks at times. Crowds and bounds were fixed before the product changed.
"""

import asyncio
import itertools
import os

import pytest

from magnoliaroad.receive_buffers import FULL_BYTES
from tests.platform.crowd import CROWD, Crowd, until_still
from tests.platform.host_process import HEADERS, host_process
from tests.platform.raw_caller import (
    SMALL_BUFFER,
    RawTarget,
    raw_connection,
    read_answer,
    request_bytes,
)
from tests.platform.target_standin import TargetStandin

# Limit of the process in its settings, at which the platform would end it. A host holds
# 45 to 50 MB at rest.
LIMIT_MB = 90
MEMORY = {"limit_mb": LIMIT_MB}
# Descriptors of a host at rest, for the crowd, and for as many connections to targets.
MOST_DESCRIPTORS = 40 + 2 * CROWD
# More than the kernel holds of a connection on both sides.
MOST_BUFFERED = 2 * FULL_BYTES
CHUNKED = HEADERS | {"Transfer-Encoding": "chunked"}
ONE_BYTE = b"1\r\nx\r\n"
LARGE_CHUNK = b"10000\r\n" + b"x" * 65_536 + b"\r\n"
# Bytes of a crowd in chunks of one byte that a host may take while it answers one
# ordinary request. A read of 32 KB is some 5,500 parse steps; a sound host takes an
# eighth of that from each caller in each of the five turns of its event loop that a
# request needs.
MOST_TAKEN = CROWD * 5 * 4_096


async def hold(reader):
    """Keeps a connection open until the host ends it."""
    await reader.read()


async def stop_short(crowd, reader, writer, part, count):
    """Sends a body in chunks without the last one, and stays."""
    await crowd.send(writer, request_bytes(CHUNKED, "/pay/x", "POST"))
    for _ in range(count):
        await crowd.send(writer, part)
    await hold(reader)


async def large_chunks(crowd, reader, writer):
    await stop_short(crowd, reader, writer, LARGE_CHUNK, 14)


async def small_chunks(crowd, reader, writer):
    await stop_short(crowd, reader, writer, ONE_BYTE * 500, 40)


async def extensions(crowd, reader, writer):
    part = b"1;n=" + b"e" * 3000 + b"\r\nx\r\n"
    await stop_short(crowd, reader, writer, part, 40)


async def slow_reading(crowd, reader, writer):
    await crowd.send(writer, request_bytes(HEADERS, "/safe/x"))
    while await reader.read(500):
        await asyncio.sleep(0.05)


async def slow_stream(crowd, reader, writer):
    await crowd.send(writer, request_bytes(HEADERS, "/plan/x", "POST", body=b"x"))
    while await reader.read(500):
        await asyncio.sleep(0.05)


async def both(crowd, reader, writer):
    await next(TURNS)(crowd, reader, writer)


TURNS = itertools.cycle([large_chunks, small_chunks, slow_reading])


ACTS = [large_chunks, small_chunks, extensions, slow_reading, slow_stream, both]


def check_process(host, most_descriptors=MOST_DESCRIPTORS):
    assert host.proc.returncode is None
    assert host.peak_mb() < LIMIT_MB
    descriptors = os.listdir(f"/proc/{host.proc.pid}/fd")
    assert len(descriptors) <= most_descriptors


async def pay(host):
    """Sends one ordinary request; returns its status."""
    async with raw_connection(host.listen["callers"]) as (reader, writer):
        data = request_bytes(HEADERS, "/pay/ordinary", "POST", body=b"x")
        writer.write(data)
        return (await read_answer(reader, "POST")).status


def targets():
    large = RawTarget("i-app", "app", body=b"y" * 2_000_000)
    stream = TargetStandin("i-lm", "lm", events=400)
    return [large, stream]


@pytest.mark.parametrize("act", ACTS)
async def test_a_crowd_leaves_a_host_alive_and_serving(tmp_path, act):
    async with host_process(tmp_path, *targets(), memory=MEMORY) as host:
        await host.until_ready()
        async with Crowd(host.listen["callers"], act, SMALL_BUFFER) as crowd:
            await until_still(crowd)
            check_process(host)
            assert await pay(host) == 200
        check_process(host)


@pytest.mark.parametrize("name", ["ready", "metrics"])
@pytest.mark.parametrize("act", [large_chunks, small_chunks])
async def test_a_crowd_at_another_address_leaves_a_host_alive(tmp_path, name, act):
    async with host_process(tmp_path, *targets(), memory=MEMORY) as host:
        await host.until_ready()
        async with Crowd(host.listen[name], act) as crowd:
            await until_still(crowd)
            check_process(host)
            assert await pay(host) == 200
        check_process(host)


async def test_chunks_of_one_byte_take_a_bounded_part_of_a_host(tmp_path):
    """Guards against callers that keep the event loop busy with parse steps.

    What the host takes from the crowd while it answers one request counts its work for
    the crowd, whatever the speed of the machine.
    """

    async def press(crowd, reader, writer):
        await crowd.send(writer, request_bytes(CHUNKED, "/pay/x", "POST"))
        while True:
            await crowd.send(writer, ONE_BYTE * 100_000)

    async with host_process(tmp_path, TargetStandin("i-app", "app")) as host:
        await host.until_ready()
        async with Crowd(host.listen["callers"], press) as crowd:
            # Until the kernel's buffers are full: what is taken later, the host takes.
            while crowd.taken < CROWD * MOST_BUFFERED:
                await asyncio.sleep(0.05)
            before = crowd.taken
            patient = {**HEADERS, "Magnoliaroad-Deadline-Ms": "60000"}
            async with raw_connection(host.listen["callers"]) as (reader, writer):
                writer.write(request_bytes(patient, "/safe/x"))
                status = (await read_answer(reader)).status
            taken = crowd.taken - before
        assert status == 200
        assert host.proc.returncode is None
        assert taken <= MOST_TAKEN


async def test_one_body_in_chunks_of_one_byte_is_served(tmp_path):
    target = TargetStandin("i-app", "app")
    async with host_process(tmp_path, target) as host:
        await host.until_ready()
        async with raw_connection(host.listen["callers"]) as (reader, writer):
            writer.write(request_bytes(CHUNKED, "/pay/x", "POST"))
            writer.write(ONE_BYTE * 60_000 + b"0\r\n\r\n")
            assert (await read_answer(reader, "POST")).status == 200
        assert len(target.runs[0][3]) == 60_000
