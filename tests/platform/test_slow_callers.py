"""Callers that read their answers slowly, or stop reading."""

import asyncio

import pytest

from tests.platform.deployment import Deployment
from tests.platform.raw_caller import (
    SMALL_BUFFER,
    RawTarget,
    raw_caller,
    read_answer,
    read_head,
    read_rest,
    request_bytes,
)
from tests.platform.raw_target import (
    CHUNKED,
    EVENTS,
    FRAMINGS,
    OWN_ID,
    SEAL,
    CaseTarget,
    End,
    by_close,
    head,
)

SERVICES = {"/safe/x": "app", "/plan/x": "lm"}
STREAM_HEAD = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream"
LIMIT_MS = "400"


def events(size):
    return b"id: 1\ndata: " + b"w" * size + b"\n\n"


async def read_late(deployment, path):
    """Returns what a caller receives that reads nothing until its time is over."""
    async with raw_caller(deployment, buffer_bytes=SMALL_BUFFER) as (reader, writer):
        headers = deployment.headers(Magnoliaroad_Deadline_Ms=LIMIT_MS)
        writer.write(request_bytes(headers, path))
        await asyncio.sleep(1.0)
        status, answered = await read_head(reader)
        return status, answered, await read_rest(reader, 0.7)


async def test_no_second_answer_follows_one_that_is_read_slowly(tmp_path):
    target = RawTarget(body=b"z" * 250_000)
    async with Deployment(tmp_path, target) as deployment:
        status, _, rest = await read_late(deployment, "/safe/x")
    assert status == 200
    assert b"HTTP/1.1" not in rest
    assert rest == target.body


async def test_a_connection_stays_usable_after_an_answer_that_was_read_late(tmp_path):
    target = RawTarget(body=b"z" * 250_000)
    async with (
        Deployment(tmp_path, target) as deployment,
        raw_caller(deployment, buffer_bytes=SMALL_BUFFER) as (reader, writer),
    ):
        for _ in range(2):
            headers = deployment.headers(Magnoliaroad_Deadline_Ms=LIMIT_MS)
            writer.write(request_bytes(headers, "/safe/x"))
            await asyncio.sleep(0.7)
            status, answered = await read_head(reader)
            assert status == 200
            assert (
                answered["magnoliaroad-request-id"]
                == (headers["Magnoliaroad-Request-Id"])
            )
            async with asyncio.timeout(3.0):
                assert await reader.readexactly(250_000) == target.body


async def test_a_stream_that_the_target_has_ended_is_delivered_late(tmp_path):
    body = events(150_000)
    target = RawTarget(
        "i-lm", "lm", body, f"{STREAM_HEAD}\r\nContent-Length: {len(body)}"
    )
    async with Deployment(tmp_path, target) as deployment:
        status, _, rest = await read_late(deployment, "/plan/x")
    assert status == 200
    assert rest.endswith(b"\r\n0\r\n\r\n")
    assert rest.count(b"w") == 150_000


async def test_a_stream_in_progress_ends_at_the_time_limit(tmp_path, logged):
    body = events(150_000)
    target = RawTarget(
        "i-lm", "lm", body, f"{STREAM_HEAD}\r\nContent-Length: {len(body) + 9}"
    )
    async with Deployment(tmp_path, target) as deployment:
        _, _, rest = await read_late(deployment, "/plan/x")
    assert not rest.endswith(b"0\r\n\r\n")
    assert b"HTTP/1.1" not in rest
    assert [line["reason"] for line in logged if line["event"] == "answer cut off"] == [
        "time limit"
    ]


async def test_a_stream_that_breaks_off_leaves_the_answer_before_it_whole(
    tmp_path, logged
):
    """Soak 8015: a caller had sent its next request before it read the answer."""
    broken = (head(SEAL, OWN_ID, EVENTS, CHUNKED) + b"20\r\nid: 1", End.CLOSE)
    app = RawTarget(body=b"z" * 60_000)
    engine = CaseTarget("i-lm", "lm", {"/plan/x": [broken]})
    async with (
        Deployment(tmp_path, app, engine) as deployment,
        raw_caller(deployment, buffer_bytes=SMALL_BUFFER) as (reader, writer),
    ):
        for path in ("/safe/x", "/plan/x"):
            writer.write(request_bytes(deployment.headers(), path))
        await deployment.until(
            lambda: "answer cut off" in [line["event"] for line in logged]
        )
        first = await read_answer(reader)
        assert (first.whole, first.body) == (True, app.body)
        assert not (await read_answer(reader)).whole


async def test_a_caller_that_stops_reading_is_disconnected(
    tmp_path, logged, monkeypatch
):
    monkeypatch.setattr("magnoliaroad.stall_watch.CALLER_STALL_S", 0.5, raising=False)
    target = RawTarget(body=b"z" * 250_000)
    async with Deployment(tmp_path, target) as deployment:
        in_flight = deployment.relays[0].server.in_flight
        async with raw_caller(deployment, buffer_bytes=SMALL_BUFFER) as (_, writer):
            headers = deployment.headers(Magnoliaroad_Deadline_Ms="300")
            writer.write(request_bytes(headers, "/safe/x"))
            await deployment.until(lambda: in_flight.count == 1)
            await deployment.until(lambda: in_flight.count == 0)
    lines = [line for line in logged if line["event"] in ("answer cut off", "refused")]
    assert [line.get("reason") for line in lines] == ["caller too slow"]


async def test_a_caller_that_reads_slowly_but_steadily_is_served(tmp_path, monkeypatch):
    monkeypatch.setattr("magnoliaroad.stall_watch.CALLER_STALL_S", 0.5, raising=False)
    target = RawTarget(body=b"z" * 250_000)
    async with (
        Deployment(tmp_path, target) as deployment,
        raw_caller(deployment, buffer_bytes=SMALL_BUFFER) as (reader, writer),
    ):
        headers = deployment.headers(Magnoliaroad_Deadline_Ms="300")
        writer.write(request_bytes(headers, "/safe/x"))
        status, _ = await read_head(reader)
        received = 0
        for _ in range(15):
            received += len(await reader.read(4096))
            await asyncio.sleep(0.1)
        received += len(await read_rest(reader, 0.3))
    assert (status, received) == (200, 250_000)


LARGE_BODY = b"data: " + b"w" * 1_500_000 + b"\n\n"


@pytest.mark.parametrize("framing", FRAMINGS)
@pytest.mark.parametrize("end", [End.CLOSE, End.RESET, None])
@pytest.mark.parametrize("path", ["/safe/x", "/plan/x"])
async def test_a_large_answer_to_a_slow_caller_is_whole_or_visibly_not(
    tmp_path, framing, end, path
):
    answer = framing(LARGE_BODY)
    whole = end is None or (framing is by_close and end is End.CLOSE)
    if end is not None:
        answer = (answer[0] if whole else answer[0][:-9], end)
    target = CaseTarget("i-1", SERVICES[path], {path: [answer]})
    async with (
        Deployment(tmp_path, target) as deployment,
        raw_caller(deployment, buffer_bytes=SMALL_BUFFER) as (reader, writer),
    ):
        headers = deployment.headers(Magnoliaroad_Deadline_Ms="10000")
        writer.write(request_bytes(headers, path, "POST", body=b"m"))
        await asyncio.sleep(0.2)
        received = await read_answer(reader)
    assert (received.status, received.whole) == (200, whole)
    assert received.body == LARGE_BODY if whole else received.body in LARGE_BODY
