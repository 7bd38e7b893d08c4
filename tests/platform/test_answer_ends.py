"""Answers with neither a length nor chunks, which end with their connection."""

import asyncio

import pytest

from tests.platform.deployment import Deployment
from tests.platform.raw_target import EVENTS, OWN_ID, SEAL, End, RawTarget, head

HEAD = head(SEAL, OWN_ID, EVENTS)
HEAD_1_0 = HEAD.replace(b"HTTP/1.1", b"HTTP/1.0")
EVENT = b"id: 1\ndata: one\n\n"
PATHS = {"/safe/x": "app", "/pay/x": "app", "/stream/x": "lm", "/plan/x": "lm"}


async def answer(tmp_path, path, *act, targets=1):
    """Returns status and body of a call, and the number of targets that ran it."""
    standins = [RawTarget(f"i-{n}", PATHS[path]) for n in range(targets)]
    for target in standins:
        target.script = [act]
    async with Deployment(tmp_path, *standins) as deployment:
        if path == "/stream/x":
            await deployment.start_records()
        status, _, body = await deployment.call(path, "POST", b"m")
        return status, body, sum(len(target.runs) for target in standins)


@pytest.mark.parametrize("path", PATHS)
@pytest.mark.parametrize("answer_head", [HEAD, HEAD_1_0])
@pytest.mark.parametrize("body", [b"", EVENT, EVENT * 20_000])
async def test_an_answer_that_ends_with_its_connection_is_passed_on(
    tmp_path, path, answer_head, body
):
    status, received, _ = await answer(tmp_path, path, answer_head + body, End.CLOSE)
    assert (status, received) == (200, body)


@pytest.mark.parametrize("path", PATHS)
@pytest.mark.parametrize("size", [0, 5, len(EVENT), 20_000 * len(EVENT)])
async def test_a_reset_is_not_the_end_of_an_answer(tmp_path, path, size):
    body = (EVENT * 20_000)[:size]
    status, received, ran = await answer(
        tmp_path, path, HEAD + body, End.RESET, targets=2
    )
    buffered = PATHS[path] == "app" and size < 200_000
    if buffered:
        assert (status, ran) == (502, 2 if path == "/safe/x" else 1)
    else:
        assert (status, received, ran) == (200, None, 1)


async def test_a_stream_that_a_reset_ends_is_not_kept_as_a_turn(tmp_path):
    target = RawTarget("i-lm")
    target.script = [(HEAD + EVENT, End.RESET), (HEAD + EVENT, End.CLOSE)]
    async with Deployment(tmp_path, target) as deployment:
        await deployment.start_records()
        status, turn, body = await deployment.turn()
        assert (status, body) == (200, None)
        status, _, _ = await deployment.turn(Magnoliaroad_Previous_Turn=turn)
        assert status in (404, 503)
        assert len(target.runs) == 1


@pytest.mark.parametrize("path", ["/safe/x", "/plan/x"])
async def test_an_answer_whose_connection_this_host_closes_is_not_complete(
    tmp_path, path
):
    target = RawTarget("i-1", PATHS[path])
    target.script = [(HEAD + EVENT, 1.0)]
    async with Deployment(tmp_path, target) as deployment:
        call = asyncio.create_task(deployment.call(path, "POST", b"m"))
        await deployment.until(lambda: target.in_flight)
        await asyncio.sleep(0.1)
        await deployment.relays[0].client._session.connector.close()
        status, _, body = await call
        assert (status, body) == (200, None) or status == 502


async def test_aiohttp_reads_answers_through_the_methods_that_are_overridden(tmp_path):
    """Fails if aiohttp no longer passes the end of a connection to its handler."""
    target = RawTarget("i-1", "app")
    target.script = [(HEAD, End.CLOSE)]
    async with Deployment(tmp_path, target) as deployment:
        connector = deployment.relays[0].client._session.connector
        factory = connector._factory
        seen = []

        class Recorder(factory.func):
            def feed_data(self, data, size=0):
                seen.append("head")
                super().feed_data(data, size)

            def eof_received(self):
                seen.append("end")
                super().eof_received()

            def connection_lost(self, exc):
                seen.append(exc)
                super().connection_lost(exc)

        connector._factory = lambda: Recorder(*factory.args, **factory.keywords)
        assert (await deployment.call("/pay/x", "POST", b"m"))[0] == 200
        assert seen == ["head", "end", None]
        target.script = [(HEAD, End.RESET)]
        assert (await deployment.call("/pay/x", "POST", b"m"))[0] == 502
        assert isinstance(seen[-1], ConnectionResetError)
