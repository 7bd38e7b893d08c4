"""The memory that requests hold at the product's own front end."""

import asyncio
import json
import tracemalloc

import aiohttp

from magnoliaroad.memory.settings import MemorySettings
from tests.entry.engines import TalkativeEngine
from tests.entry.hosts import HEADERS, chat_body, host_with_target
from tests.entry.services import FaultyService
from tests.entry.test_services import payout_edit
from tests.platform.raw_caller import raw_connection, read_head, request_bytes

# Events of a long answer, and what each has beside its text, in bytes.
LONG_COUNT, PADDING_BYTES = 6000, 2000
BODY = b"x" * 100_000
CALL = {"Host": "x", "Idempotency-Key": "k", **HEADERS}


async def until(condition):
    async with asyncio.timeout(5.0):
        while not condition():
            await asyncio.sleep(0.01)


async def test_a_call_whose_caller_has_left_is_counted_until_it_ends():
    """Guards against bodies that are held and not counted while their calls go on."""
    service = FaultyService()
    edit = payout_edit(repeatable=False)
    async with host_with_target(service.app(), edit) as (app, url):
        async with raw_connection(url.removeprefix("http://")) as (_, writer):
            path = "/services/payouts/waits"
            writer.write(request_bytes(CALL, path, "POST", body=BODY))
            await until(lambda: service.runs)
        await until(lambda: not app.entry._runner.server.connections)
        assert app._requests.held_bytes == len(BODY)
        service.proceed.set()
        await until(lambda: not app._requests.held_bytes)


async def test_a_body_beyond_the_memory_is_refused_as_not_run():
    service = FaultyService()
    memory = MemorySettings(limit_mb=2)
    async with host_with_target(service.app(), payout_edit(), memory=memory) as (
        app,
        url,
    ):
        address = url.removeprefix("http://")
        head = CALL | {"Content-Length": "200000"}
        start = request_bytes(head, "/services/payouts/small", "POST")
        async with (
            raw_connection(address) as (_, first),
            raw_connection(address) as (reader, second),
        ):
            first.write(start + BODY)
            await until(lambda: app._requests.held_bytes == len(BODY))
            second.write(start)
            status, headers = await read_head(reader)
        assert status == 503
        assert "retry-after" in headers
        async with (
            aiohttp.ClientSession() as session,
            session.get(f"{url}/metrics") as resp,
        ):
            assert "memory_full" in await resp.text()
        assert not service.runs


async def read_stream(url, on_piece=lambda: None):
    """Returns the last event of a chat's answer."""
    body, last = chat_body(stream=True), b""
    async with (
        aiohttp.ClientSession() as session,
        session.post(f"{url}/v1/chat/completions", json=body, headers=HEADERS) as resp,
    ):
        assert resp.status == 200
        async for piece in resp.content.iter_any():
            last = (last + piece)[-PADDING_BYTES:]
            on_piece()
    return last.rstrip().rpartition(b"data: ")[2]


async def test_a_long_stream_is_not_held_with_all_that_its_events_carry():
    """Guards against hosts that held each event of each stream until its end."""
    engine = TalkativeEngine(LONG_COUNT, "word ", PADDING_BYTES)
    async with host_with_target(engine.app()) as (_, url):
        tracemalloc.start()
        try:
            held = []
            last = await read_stream(
                url, lambda: held.append(tracemalloc.get_traced_memory()[0])
            )
        finally:
            tracemalloc.stop()
    assert last == b"[DONE]"
    assert max(held) < LONG_COUNT * PADDING_BYTES / 4


async def test_the_text_of_an_answer_counts_among_the_memory_of_requests():
    engine = TalkativeEngine(100, "x" * 1000)
    async with host_with_target(engine.app()) as (app, url):
        held = []
        await read_stream(url, lambda: held.append(app._requests.held_bytes))
        assert max(held) >= 50_000
        await until(lambda: not app._requests.held_bytes)


async def test_an_answer_beyond_the_memory_ends_with_an_error():
    """Guards against streams that grow a host until the platform ends it."""
    engine = TalkativeEngine(1000, "x" * 1000)
    memory = MemorySettings(limit_mb=2)
    async with host_with_target(engine.app(), memory=memory) as (app, url):
        app._requests.hold().grow(100_000)
        error = json.loads(await read_stream(url))["error"]
    assert (error["code"], error["verdict"]) == ("answer_not_held", "may have run")


async def test_an_answer_without_end_ends_with_an_error(monkeypatch):
    monkeypatch.setattr("magnoliaroad.entry.chat_run.MAX_ANSWER_BYTES", 100_000)
    engine = TalkativeEngine(1000, "x" * 1000)
    async with host_with_target(engine.app()) as (_, url):
        error = json.loads(await read_stream(url))["error"]
    assert (error["code"], error["verdict"]) == ("target_failed", "may have run")
