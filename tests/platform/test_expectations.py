"""Callers that wait for 100 Continue, and bodies that do not arrive properly."""

import asyncio

import pytest

from tests.platform.deployment import Deployment
from tests.platform.raw_caller import (
    raw_caller,
    read_head,
    read_rest,
    request_bytes,
)
from tests.platform.target_standin import TargetStandin

CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"


def expecting(deployment, **changes):
    fields = {"Expect": "100-continue", "Content-Length": "5"} | changes
    return deployment.headers() | fields


async def read_answer(reader):
    async with asyncio.timeout(2.0):
        status, headers = await read_head(reader)
        body = await reader.readexactly(int(headers["content-length"]))
    return status, headers, body


@pytest.fixture
def target():
    return TargetStandin("i-app", "app")


@pytest.mark.parametrize("value", ["100-continue", "100-Continue"])
async def test_a_caller_that_waits_for_100_continue_is_served(tmp_path, target, value):
    async with (
        Deployment(tmp_path, target) as deployment,
        raw_caller(deployment) as (reader, writer),
    ):
        for _ in range(2):
            headers = expecting(deployment, Expect=value)
            writer.write(request_bytes(headers, "/pay/x", "POST"))
            async with asyncio.timeout(2.0):
                assert await reader.readexactly(len(CONTINUE)) == CONTINUE
            writer.write(b"money")
            status, answered, body = await read_answer(reader)
            assert (status, body) == (200, b"whole")
            assert "connection" not in answered
    assert [body for *_, body in target.runs] == [b"money"] * 2
    assert "expect" not in target.runs[0][2]


@pytest.mark.parametrize(
    ("path", "changes", "status"),
    [
        ("/none/x", {}, 404),
        ("/pay/x", {"Authorization": "Bearer stolen"}, 401),
        ("/pay/x", {"Magnoliaroad-Deadline-Ms": "soon"}, 400),
        ("/pay/x", {"Content-Length": "20000000"}, 413),
        ("/pay/x", {"Expect": "200-ok"}, 417),
    ],
)
async def test_a_refusal_does_not_wait_for_the_body(
    tmp_path, target, path, changes, status
):
    async with (
        Deployment(tmp_path, target) as deployment,
        raw_caller(deployment) as (reader, writer),
    ):
        writer.write(request_bytes(expecting(deployment, **changes), path, "POST"))
        got, headers, _ = await read_answer(reader)
        assert (got, headers["connection"]) == (status, "close")
        assert headers["magnoliaroad-request-id"].startswith("request-")
        assert await reader.read() == b""
    assert target.runs == []


async def test_no_100_continue_for_old_callers_or_bodies_that_came_along(
    tmp_path, target
):
    async with Deployment(tmp_path, target) as deployment:
        async with raw_caller(deployment) as (reader, writer):
            sent = request_bytes(
                expecting(deployment), "/pay/x", "POST", "1.0", b"money"
            )
            writer.write(sent)
            assert (await read_answer(reader))[0] == 200
        async with raw_caller(deployment) as (reader, writer):
            headers = expecting(deployment, **{"Content-Length": "0"})
            writer.write(request_bytes(headers, "/pay/x", "POST"))
            assert (await read_answer(reader))[0] == 200


async def test_a_body_that_is_too_large_is_refused_once(tmp_path, target, logged):
    async with (
        Deployment(tmp_path, target) as deployment,
        raw_caller(deployment) as (reader, writer),
    ):
        headers = deployment.headers(Transfer_Encoding="chunked")
        writer.write(request_bytes(headers, "/pay/x", "POST"))
        piece = b"100000\r\n" + bytes(0x100000) + b"\r\n"
        for _ in range(17):
            writer.write(piece)
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        status, headers, _ = await read_answer(reader)
        assert (status, headers["connection"]) == (413, "close")
        assert await read_rest(reader) == b""
    assert target.runs == []
    (line,) = [line for line in logged if line["event"] == "refused"]
    assert line["verdict"] == "not run"


async def test_a_malformed_body_is_refused_once(tmp_path, target, logged):
    async with (
        Deployment(tmp_path, target) as deployment,
        raw_caller(deployment) as (reader, writer),
    ):
        headers = deployment.headers(Transfer_Encoding="chunked")
        writer.write(request_bytes(headers, "/pay/x", "POST") + b"3\r\nabc\r\n")
        await asyncio.sleep(0.05)
        writer.write(b"zz\r\nabc\r\n")
        status, headers, _ = await read_answer(reader)
        assert (status, headers["connection"]) == (400, "close")
        assert headers["magnoliaroad-request-id"].startswith("request-")
        assert await read_rest(reader) == b""
    assert target.runs == []
    (line,) = [line for line in logged if line["event"] == "refused"]
    assert line["verdict"] == "not run"


async def test_a_stalled_body_is_refused_as_not_run(tmp_path, target, monkeypatch):
    monkeypatch.setattr("magnoliaroad.relay.body.BODY_STALL_S", 0.3, raising=False)
    async with (
        Deployment(tmp_path, target) as deployment,
        raw_caller(deployment) as (reader, writer),
    ):
        headers = deployment.headers(Content_Length="5")
        writer.write(request_bytes(headers, "/pay/x", "POST") + b"mon")
        status, headers, _ = await read_answer(reader)
        assert (status, headers["connection"]) == (408, "close")
        assert await reader.read() == b""
    assert target.runs == []
