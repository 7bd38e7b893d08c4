"""Answers of the platform's store are read up to a bound (FAULT)."""

import asyncio
import base64
import itertools

import pytest
from aiohttp import web
from magnoliaroad_platform.store import PlatformStore

from magnoliaroad.store import StoreConflict, StorePut, StoreUnavailable
from magnoliaroad.store.settings import StoreSettings
from tests.platform.kv_standin import KvStandin
from tests.platform.test_store_answers import CALLS

VALUE_BYTES = 1_048_576
# Most that the stand-in can send while a client reads up to its bound: the bound of a
# page and the buffers of both sockets.
MOST_SENT_BYTES = 16_000_000
ENDLESS_BYTES = 200_000_000


@pytest.fixture
async def kv():
    standin = await KvStandin().start()
    standin.write("p/a", 1)
    yield standin
    await standin.stop()


@pytest.fixture
async def store(kv):
    store = PlatformStore(StoreSettings(kv.url, timeout_s=20.0))
    yield store
    await store.close()


class Sent:
    """Answers with bodies of ``size`` bytes; counts the bytes that were sent."""

    def __init__(self, size, has_length=False):
        self.size = size
        self.has_length = has_length
        self.sent = 0

    async def __call__(self, req, resp):
        answer = web.StreamResponse(status=resp.status)
        if self.has_length:
            answer.content_length = self.size
        await answer.prepare(req)
        while self.sent < self.size:
            await answer.write(b" " * 100_000)
            self.sent += 100_000
        await answer.write_eof()
        return answer


@pytest.mark.parametrize("name", CALLS)
@pytest.mark.parametrize("has_length", [False, True])
async def test_a_body_without_an_end_is_cut_at_a_bound(kv, store, name, has_length):
    await store.grant_lease(60.0)
    kv.replace_answer = answers = Sent(ENDLESS_BYTES, has_length)
    with pytest.raises(StoreUnavailable):
        await CALLS[name].send(store)
    assert 0 < answers.sent < MOST_SENT_BYTES


async def test_pages_without_an_end_are_cut_at_a_bound(kv, store):
    numbers = itertools.count()
    value = base64.b64encode(b"x" * 50_000).decode()

    async def replace(req, resp):
        items = [
            {"key": f"p/{next(numbers):012}", "value": value, "revision": 3}
            for _ in range(20)
        ]
        return web.json_response({"items": items, "more_pages": True, "as_of": 10})

    kv.replace_answer = replace
    with pytest.raises(StoreUnavailable):
        await store.list("p/")
    assert next(numbers) * 50_000 < MOST_SENT_BYTES


async def test_small_entries_without_an_end_are_cut_at_a_bound(kv, store):
    numbers = itertools.count()

    async def replace(req, resp):
        items = [
            {"key": f"p/{next(numbers):012}", "value": "", "revision": 3}
            for _ in range(500)
        ]
        return web.json_response({"items": items, "more_pages": True, "as_of": 10})

    kv.replace_answer = replace
    with pytest.raises(StoreUnavailable):
        await store.list("p/")
    assert next(numbers) < 100_000


async def test_the_largest_answers_of_the_protocol_are_read(kv, store):
    value = b"\xff" * VALUE_BYTES
    keys = [f"p/{number:03}" + "\x01" * 195 for number in range(16)]
    for key in keys:
        kv.state.put(key, value)
    assert (await store.get(keys[0])).value == value
    # The stand-in has at most three items on a page.
    kv.state.delete("p/a", None)
    batch = await store.list("p/000")
    assert [len(entry.value) for entry in batch.changed] == [VALUE_BYTES]
    with pytest.raises(StoreConflict) as caught:
        await store.put_many([StorePut(key, b"", expected=1) for key in keys])
    assert len(caught.value.entries) == 16


async def test_many_large_answers_at_once_are_bounded_together(kv, store):
    """Those that are cut fail; small answers are read beside them."""
    begun = asyncio.Event()

    async def replace(req, resp):
        if req.query.get("key") == "p/a":
            return resp
        answer = web.StreamResponse()
        await answer.prepare(req)
        # Within the bound of one value, and without an end.
        for _ in range(13):
            await answer.write(b" " * 100_000)
        begun.set()
        await asyncio.sleep(20.0)
        return answer

    kv.replace_answer = replace
    calls = [asyncio.create_task(store.get("p/b")) for _ in range(100)]
    await begun.wait()
    await asyncio.wait(calls, timeout=1.0)
    assert (await store.get("p/a")).value == b"1"
    failed = [call for call in calls if call.done()]
    assert len(failed) >= 75
    for call in calls:
        call.cancel()
    results = await asyncio.gather(*calls, return_exceptions=True)
    assert {type(exc) for exc in results} == {StoreUnavailable, asyncio.CancelledError}
    # What was held is free again.
    kv.replace_answer = None
    kv.state.put("p/b", b"x" * VALUE_BYTES)
    values = await asyncio.gather(*(store.get("p/b") for _ in range(10)))
    assert {len(entry.value) for entry in values} == {VALUE_BYTES}
