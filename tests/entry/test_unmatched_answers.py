"""Engines that write an earlier refusal once more, on a kept connection."""

import asyncio

import pytest
from aiohttp import web

from magnoliaroad.targets.connector import TargetConnector
from tests.entry.hosts import HEADERS, chat_body, host_with_target
from tests.entry.raw_engine import REFUSAL, RawEngine, Script, answer
from tests.entry.test_requests import post
from tests.entry.test_services import call, payout_edit

# A field that makes a request larger than the kernel's buffers take at once, and that
# is not counted as a part of the prompt.
LARGE = {"user": "x" * 7_000_000}


async def chat(url, **changes):
    """Returns the text of the answer, or the verdict of the refusal."""
    _, _, fields = await post(url, {"json": chat_body(**changes)})
    if "error" in fields:
        return fields["error"]["verdict"]
    return fields["choices"][0]["message"]["content"]


def keyed(key):
    return HEADERS | {"Idempotency-Key": key}


def host_before(engine):
    return host_with_target(web.Application(), engine.edit)


@pytest.mark.parametrize("place", ["behind", "later"])
async def test_a_refusal_behind_an_answer_is_not_taken_for_the_next_requests(place):
    first = Script(answer("one"), **{place: REFUSAL})
    async with (
        RawEngine(first, Script(answer("two"))) as engine,
        host_before(engine) as (_, url),
    ):
        assert await chat(url) == "one"
        await asyncio.sleep(0.1)
        assert await chat(url) == "two"
    assert engine.runs == 2


async def test_the_answer_behind_a_refusal_is_not_given_to_another_request():
    """MIXED: the connection was used again, where the answer was still to come."""
    second = Script(answer("two"), at_body=REFUSAL, pause_s=0.3)
    async with (
        RawEngine(Script(answer("one")), second, Script(answer("three"))) as engine,
        host_before(engine) as (_, url),
    ):
        assert await chat(url) == "one"
        await chat(url)
        assert await chat(url) == "three"


async def test_a_refusal_before_the_request_was_sent_does_not_count():
    """TWICE: it was taken for the request's own, and another engine tried."""
    second = Script(answer("two"), at_head=REFUSAL)
    async with (
        RawEngine(Script(answer("one")), second) as engine,
        host_before(engine) as (_, url),
    ):
        assert await chat(url) == "one"
        assert await chat(url, **LARGE) == "may have run"
    assert engine.runs == 2


async def test_a_refusal_that_crosses_the_request_does_not_count(monkeypatch):
    take = TargetConnector._get

    async def take_and_receive(connector, key, traces):
        conn = await take(connector, key, traces)
        if conn is not None:
            conn.protocol.data_received(REFUSAL)
        return conn

    async with (
        RawEngine(Script(answer("one")), Script(answer("two"))) as engine,
        host_before(engine) as (_, url),
    ):
        assert await chat(url) == "one"
        monkeypatch.setattr(TargetConnector, "_get", take_and_receive)
        verdict = await chat(url)
        await asyncio.sleep(0.1)
    assert verdict == "may have run" or engine.runs == 1


@pytest.mark.parametrize("repeatable", [True, False])
async def test_an_early_answer_of_a_service_on_a_kept_connection_does_not_count(
    repeatable,
):
    """Guards against the answer to an earlier call being passed on for another one."""
    second = Script(answer("two"), at_head=answer("one"))

    def edit(config, url):
        return payout_edit(repeatable)(config, engine.url)

    async with (
        RawEngine(Script(answer("one")), second) as engine,
        host_with_target(web.Application(), edit) as (_, url),
    ):
        status, _, body = await call(url, "x", headers=keyed("1"), data=b"a")
        assert (status, b"one" in body) == (200, True)
        large = b"x" * 7_000_000
        status, _, body = await call(url, "x", headers=keyed("2"), data=large)
        assert status >= 500
        assert b"may have run" in body
    assert engine.runs == 2


async def test_an_early_refusal_on_a_new_connection_counts():
    async with (
        RawEngine(Script(b"", at_head=REFUSAL)) as engine,
        host_before(engine) as (_, url),
    ):
        assert await chat(url, **LARGE) == "not run"


async def test_an_earlier_refusal_behind_the_request_does_not_count():
    """TWICE: engines state no id, so nothing tells it from the request's own."""
    second = Script(answer("two"), at_body=REFUSAL)
    async with (
        RawEngine(Script(answer("one")), second) as engine,
        host_before(engine) as (_, url),
    ):
        assert await chat(url) == "one"
        assert await chat(url) != "not run"
