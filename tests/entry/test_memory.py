"""The memory that requests hold at the product's own front end."""

import asyncio

import aiohttp

from magnoliaroad.memory.settings import MemorySettings
from tests.entry.hosts import HEADERS, host_with_target
from tests.entry.services import FaultyService
from tests.entry.test_services import payout_edit
from tests.platform.raw_caller import raw_connection, read_head, request_bytes

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
