"""Callers that send much and give up (FAULT).

Guards against hosts that the platform ends for their memory, since what such callers
have sent is not counted, or lives on after them.
"""

import asyncio
import contextlib

import pytest

from tests.platform.host_process import HEADERS, host_process, send_again
from tests.platform.raw_caller import (
    raw_connection,
    read_answer,
    read_head,
    request_bytes,
)
from tests.platform.target_standin import TargetStandin

# A host holds 45 to 50 MB at rest; the platform ends the smallest at 150 MB.
MOST_MB = 100.0
FIELD = b"X-Field-%d: " + b"a" * 8_000 + b"\r\n"


@pytest.mark.parametrize("name", ["callers", "ready", "metrics"])
async def test_bodies_that_are_given_up_do_not_take_a_host_over_its_memory(
    tmp_path, name
):
    data = request_bytes(HEADERS, "/pay/x", "POST", body=b"x" * 500_000)
    async with host_process(tmp_path) as host:
        await host.until_ready()
        await send_again(host.listen[name], data, 100, 15, 0.08)
        assert host.proc.returncode is None
        assert host.peak_mb() < MOST_MB


async def test_requests_that_are_given_up_do_not_take_a_host_over_its_memory(tmp_path):
    data = request_bytes(HEADERS, "/pay/x", "POST", body=b"x")
    async with host_process(tmp_path, TargetStandin("i-app", "app")) as host:
        await host.until_ready()
        await send_again(host.listen["callers"], data, 200, 60, 0.005)
        assert host.proc.returncode is None
        assert host.peak_mb() < MOST_MB


@pytest.mark.parametrize(
    ("name", "callers"),
    [("callers", 200), ("ready", 200), ("metrics", 200), ("callers", 800)],
)
async def test_heads_without_an_end_do_not_take_a_host_over_its_memory(
    tmp_path, name, callers
):
    async with host_process(tmp_path) as host:
        await host.until_ready()

        async def send():
            with contextlib.suppress(OSError):
                async with raw_connection(host.listen[name]) as (_, writer):
                    writer.write(b"GET /safe/a HTTP/1.1\r\n")
                    for number in range(100):
                        writer.write(FIELD % number)
                        await writer.drain()
                        await asyncio.sleep(0.02)

        await asyncio.gather(*(send() for _ in range(callers)))
        assert host.proc.returncode is None
        assert host.peak_mb() < MOST_MB


async def test_a_head_that_is_too_large_is_refused(tmp_path):
    async with host_process(tmp_path) as host:
        await host.until_ready()
        async with raw_connection(host.listen["callers"]) as (reader, writer):
            writer.write(b"GET /safe/a HTTP/1.1\r\n")
            for number in range(10):
                writer.write(FIELD % number)
                await asyncio.sleep(0.02)
            status, headers = await read_head(reader)
            assert (status, headers["connection"]) == (431, "close")
            assert await reader.read() == b""
        assert host.logged("head refused")


async def test_whole_heads_are_served_beside_many_that_do_not_end(tmp_path):
    async with host_process(tmp_path, TargetStandin("i-app", "app")) as host:
        await host.until_ready()

        async def hold():
            with contextlib.suppress(OSError):
                async with raw_connection(host.listen["callers"]) as (reader, writer):
                    writer.write(b"GET /safe/a HTTP/1.1\r\n" + FIELD % 1 * 6)
                    await reader.read()

        held = [asyncio.create_task(hold()) for _ in range(800)]
        while not host.logged("head refused"):
            await asyncio.sleep(0.05)
        async with raw_connection(host.listen["callers"]) as (reader, writer):
            writer.write(request_bytes(HEADERS, "/pay/x", "POST", body=b"x"))
            assert (await read_answer(reader, "POST")).status == 200
        assert host.peak_mb() < MOST_MB
        for task in held:
            task.cancel()
        reasons = {line["reason"] for line in host.logged("head refused")}
        assert reasons == {"heads too large"}


@pytest.mark.parametrize("name", ["callers", "ready", "metrics"])
async def test_trailers_without_an_end_do_not_take_a_host_over_its_memory(
    tmp_path, name
):
    headers = HEADERS | {"Transfer-Encoding": "chunked"}
    start = request_bytes(headers, "/pay/x", "POST") + b"1\r\nx\r\n0\r\n"
    async with host_process(tmp_path) as host:
        await host.until_ready()

        async def send():
            with contextlib.suppress(OSError):
                async with raw_connection(host.listen[name]) as (_, writer):
                    writer.write(start)
                    for number in range(100):
                        writer.write(FIELD % number)
                        await writer.drain()
                        await asyncio.sleep(0.02)

        await asyncio.gather(*(send() for _ in range(200)))
        assert host.proc.returncode is None
        assert host.peak_mb() < MOST_MB


async def test_trailers_and_a_slow_body_in_small_chunks_are_taken(tmp_path):
    headers = HEADERS | {"Transfer-Encoding": "chunked"}
    async with host_process(tmp_path, TargetStandin("i-app", "app")) as host:
        await host.until_ready()
        async with raw_connection(host.listen["callers"]) as (reader, writer):
            writer.write(request_bytes(headers, "/pay/x", "POST"))
            for part in (b"1;n=" + b"e" * 30_000 + b"\r\n", b"x\r\n") * 8:
                writer.write(part)
                await writer.drain()
                await asyncio.sleep(0.01)
            writer.write(b"0\r\n" + FIELD % 1 + b"\r\n")
            assert (await read_answer(reader, "POST")).status == 200
        assert not host.logged("head refused")


async def test_bodies_without_a_length_do_not_take_a_host_over_its_memory(tmp_path):
    headers = HEADERS | {"Transfer-Encoding": "chunked"}
    start = request_bytes(headers, "/pay/x", "POST")
    async with host_process(tmp_path, TargetStandin("i-app", "app")) as host:
        await host.until_ready()

        async def send():
            with contextlib.suppress(OSError):
                async with raw_connection(host.listen["callers"]) as (_, writer):
                    writer.write(start)
                    for _ in range(120):
                        writer.write(b"10000\r\n" + b"x" * 65_536 + b"\r\n")
                        await writer.drain()
                    await asyncio.sleep(0.5)

        await asyncio.gather(*(send() for _ in range(60)))
        assert host.proc.returncode is None
        assert host.peak_mb() < MOST_MB
        codes = {line["code"] for line in host.logged("refused")}
        assert "memory_full" in codes
        part = b"10000\r\n" + b"x" * 65_536 + b"\r\n"
        status = 503
        # Refused until the host has seen that the other callers have left.
        async with asyncio.timeout(5.0):
            while status == 503:
                async with raw_connection(host.listen["callers"]) as (reader, writer):
                    writer.write(start + part * 100 + b"0\r\n\r\n")
                    status = (await read_answer(reader, "POST")).status
        assert status == 200


@pytest.mark.parametrize("name", ["callers", "ready", "metrics"])
async def test_queued_requests_do_not_take_a_host_over_its_memory(tmp_path, name):
    fields = {f"X-Field-{number}": "a" * 7_000 for number in range(4)}
    method, path = ("POST", "/pay/x") if name == "callers" else ("GET", "/metrics")
    data = request_bytes(HEADERS | fields, path, method)
    async with host_process(tmp_path, TargetStandin("i-app", "app")) as host:
        await host.until_ready()

        async def send():
            with contextlib.suppress(OSError, TimeoutError):
                async with raw_connection(host.listen[name]) as (_, writer):
                    async with asyncio.timeout(4.0):
                        for _ in range(64):
                            writer.write(data)
                            await writer.drain()
                        await asyncio.sleep(2.0)

        await asyncio.gather(*(send() for _ in range(100)))
        assert host.proc.returncode is None
        assert host.peak_mb() < MOST_MB


async def test_all_of_many_queued_requests_are_answered(tmp_path):
    fields = {f"X-Field-{number}": "a" * 7_000 for number in range(2)}
    small = request_bytes(HEADERS, "/pay/x", "POST", body=b"x")
    large = request_bytes(HEADERS | fields, "/pay/x", "POST", body=b"y" * 100_000)
    async with host_process(tmp_path, TargetStandin("i-app", "app")) as host:
        await host.until_ready()
        async with raw_connection(host.listen["callers"]) as (reader, writer):
            writer.write((small * 40 + large) * 3)
            for _ in range(123):
                assert (await read_answer(reader, "POST")).status == 200
        assert not host.logged("head refused")


async def test_bodies_that_do_not_arrive_take_no_memory_from_others(tmp_path):
    """Guards against one caller that keeps a host from all larger requests."""
    announced = {**HEADERS, "Content-Length": "16000000"}
    async with host_process(tmp_path, TargetStandin("i-app", "app")) as host:
        await host.until_ready()
        address = host.listen["callers"]
        async with (
            raw_connection(address) as (_, first),
            raw_connection(address) as (_, second),
            raw_connection(address) as (reader, writer),
        ):
            for announcing in (first, second):
                announcing.write(request_bytes(announced, "/pay/x", "POST"))
            await asyncio.sleep(0.3)
            data = request_bytes(HEADERS, "/pay/y", "POST", body=b"y" * 20_000)
            writer.write(data)
            assert (await read_answer(reader, "POST")).status == 200
