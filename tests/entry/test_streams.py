import asyncio
import json

import aiohttp
import pytest

from magnoliaroad.operators.keys import withdraw_key
from magnoliaroad.targets.settings import TargetSettings
from tests.entry.engines import WORDS, InterruptedEngine, StallingEngine
from tests.entry.hosts import HEADERS, chat_body, host_with_target


def events_of(data):
    lines = [x[6:] for x in data.split(b"\n") if x.startswith(b"data: ")]
    return [x if x == b"[DONE]" else json.loads(x) for x in lines]


def text_of(events):
    deltas = [c["delta"] for e in events[:-1] for c in e.get("choices", ())]
    return "".join(d.get("content") or "" for d in deltas)


async def stream(url, session, **fields):
    target = f"{url}/v1/chat/completions"
    body = chat_body(stream=True, **fields)
    async with session.post(target, json=body, headers=HEADERS) as resp:
        return await resp.read()


@pytest.mark.parametrize("cut_after", [0, 1, 3])
async def test_an_interrupted_stream_resumes_without_repeated_or_missing_text(
    cut_after,
):
    engine = InterruptedEngine(cut_after=cut_after)
    async with (
        host_with_target(engine.app()) as (_, url),
        aiohttp.ClientSession() as session,
    ):
        events = events_of(await stream(url, session))
    assert text_of(events) == "".join(WORDS)
    assert events[-1] == b"[DONE]"
    assert engine.runs == 1
    assert engine.resume_requests == [{"request": "e1", "after": cut_after}]


async def test_a_stream_that_cannot_resume_ends_with_an_error():
    engine = InterruptedEngine(resumes=False)
    async with (
        host_with_target(engine.app()) as (_, url),
        aiohttp.ClientSession() as session,
    ):
        events = events_of(await stream(url, session))
    assert b"[DONE]" not in events
    assert events[-1]["error"]["code"] == "target_failed"
    assert events[-1]["error"]["verdict"] == "may have run"
    assert engine.runs == 1


async def test_silence_between_bytes_ends_the_stream():
    engine = StallingEngine()
    targets = TargetSettings(silence_timeout_s=0.05)
    async with (
        host_with_target(engine.app(), targets=targets) as (_, url),
        aiohttp.ClientSession() as session,
    ):
        events = events_of(await stream(url, session))
        await engine.client_left.wait()
    assert events[-1]["error"]["verdict"] == "may have run"


async def test_the_engine_connection_is_closed_when_the_caller_disconnects():
    engine = StallingEngine()
    async with host_with_target(engine.app()) as (app, url):
        session = aiohttp.ClientSession()
        task = asyncio.create_task(stream(url, session))
        while not engine.runs:
            await asyncio.sleep(0.01)
        task.cancel()
        await session.close()
        await engine.client_left.wait()
        assert await app.entry.in_flight.wait_idle(10)


async def test_drain_completes_a_stream_and_reports_not_ready():
    engine = StallingEngine()
    async with (
        host_with_target(engine.app()) as (app, url),
        aiohttp.ClientSession() as session,
    ):
        task = asyncio.create_task(stream(url, session))
        while not engine.runs:
            await asyncio.sleep(0.01)
        drain = asyncio.create_task(app.entry.drain())
        await asyncio.sleep(0)
        async with session.get(f"{url}/ready") as resp:
            assert resp.status == 503
        assert not drain.done()
        engine.proceed.set()
        events = events_of(await task)
        await drain
    assert events[-1] == b"[DONE]"


async def test_a_withdrawn_key_ends_a_stream_with_the_reason():
    engine = StallingEngine()
    async with (
        host_with_target(engine.app()) as (app, url),
        aiohttp.ClientSession() as session,
    ):
        task = asyncio.create_task(stream(url, session))
        while not engine.runs:
            await asyncio.sleep(0.01)
        grant = next(iter(app.config.current.grants.values()))
        await withdraw_key(app.store, grant.digest)
        events = events_of(await task)
        await engine.client_left.wait()
    assert events[-1]["error"]["code"] == "key_withdrawn"
    assert events[-1]["error"]["verdict"] == "may have run"


async def test_an_exception_in_the_host_during_a_stream_closes_the_connection(
    monkeypatch,
):
    async def broken(turn, outcome):
        raise RuntimeError("failure in the host")

    engine = StallingEngine()
    engine.proceed.set()
    async with (
        host_with_target(engine.app()) as (app, url),
        aiohttp.ClientSession() as session,
    ):
        monkeypatch.setattr(app.programs, "finish", broken)
        with pytest.raises(aiohttp.ClientError):
            await stream(url, session)
