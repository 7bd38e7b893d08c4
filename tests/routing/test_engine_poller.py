import asyncio

import aiohttp
import pytest

from magnoliaroad.config import Target
from magnoliaroad.routing import RoutingSettings, prefix_digests
from magnoliaroad.routing.engine_poller import EnginePoller
from magnoliaroad.routing.target_tracker import TargetTracker
from magnoliaroad.standins.engine_server import SERVER_SETTINGS, EngineServer
from magnoliaroad.standins.serve_app import serve_app

PROMPT = [{"role": "user", "content": "word " * 2000}]
WITHOUT_LAG = SERVER_SETTINGS._replace(load_lag_s=0.0, event_lag_s=0.0)


@pytest.fixture
def tracker():
    return TargetTracker(RoutingSettings(), "dc")


async def chat(url, **fields):
    body = {"model": "m", "messages": PROMPT} | fields
    headers = {"X-Program-Id": "p1"}
    async with (
        aiohttp.ClientSession() as session,
        session.post(f"{url}/v1/chat/completions", json=body, headers=headers) as resp,
    ):
        return await resp.read()


async def poll(tracker, *targets, poller=None):
    poller = poller or EnginePoller(RoutingSettings(), tracker)
    async with poller:
        await poller.poll(list(targets))
    return poller


async def test_cache_and_load_are_read_from_the_engine(tracker):
    engine = EngineServer(cfg=WITHOUT_LAG)
    async with serve_app(engine.app()) as url:
        await chat(url)
        await poll(tracker, Target("e1", "m", url, "dc"))
    found = tracker.prefixes.cached_tokens(prefix_digests(PROMPT))
    assert found["e1"] >= 2000
    assert tracker.loads.in_flight("e1") == 0


async def test_a_restart_invalidates_the_cached_prefixes(tracker):
    async with serve_app(EngineServer(cfg=WITHOUT_LAG).app()) as url:
        await chat(url)
        poller = await poll(tracker, Target("e1", "m", url, "dc"))
    async with serve_app(EngineServer(cfg=WITHOUT_LAG).app()) as url:
        await poll(tracker, Target("e1", "m", url, "dc"), poller=poller)
    assert tracker.prefixes.cached_tokens(prefix_digests(PROMPT)) == {}


async def test_an_unreachable_engine_does_not_block_polling_the_others(tracker):
    engine = EngineServer(cfg=WITHOUT_LAG)
    async with serve_app(engine.app()) as url:
        await chat(url)
        unreachable = Target("e2", "m", "http://127.0.0.1:9", "dc")
        await poll(tracker, unreachable, Target("e1", "m", url, "dc"))
    assert "e1" in tracker.prefixes.cached_tokens(prefix_digests(PROMPT))


async def test_release_orders_with_an_old_fence_are_refused():
    engine = EngineServer(cfg=WITHOUT_LAG)
    async with serve_app(engine.app()) as url, aiohttp.ClientSession() as session:
        await chat(url)
        statuses = []
        for fence in (7, 6):
            order = {"programs": ["p1"], "fence": fence}
            async with session.post(f"{url}/v1/cache/release", json=order) as resp:
                statuses.append(resp.status)
        async with session.get(f"{url}/v1/cache/programs") as resp:
            held = await resp.json()
    assert statuses == [200, 409]
    assert held == {"programs": {}}


async def test_an_interrupted_stream_resumes_after_the_last_event():
    engine = EngineServer(cfg=WITHOUT_LAG, answer_tokens=20)
    async with serve_app(engine.app()) as url:
        whole = await chat(url)
        (request,) = engine.model.ended
        body = {"request": request, "after": 12}
        async with (
            aiohttp.ClientSession() as session,
            session.post(f"{url}/v1/resume", json=body) as resp,
        ):
            rest = await resp.read()
    assert b"id: 20\n" in rest
    assert b"id: 12\n" not in rest
    assert rest.endswith(b"data: [DONE]\n\n")
    assert len(rest) < len(whole)


async def test_a_cancelled_request_ends():
    engine = EngineServer(step_s=0.01, cfg=WITHOUT_LAG, answer_tokens=100_000)
    async with serve_app(engine.app()) as url, aiohttp.ClientSession() as session:
        request_task = asyncio.ensure_future(chat(url, max_tokens=100_000))
        while not engine.model.running:
            await asyncio.sleep(0.005)
        (request,) = engine.model.running
        async with session.post(f"{url}/v1/cancel", json={"request": request}) as resp:
            assert await resp.json() == {"cancelled": True}
        assert (await request_task).endswith(b"data: [DONE]\n\n")
