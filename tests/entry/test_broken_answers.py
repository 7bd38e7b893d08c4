"""Answers that targets of the front end break off, or that are none in HTTP (C3).

Guards against a front end that passes the part it got on as a whole answer, keeps it as
the answer of a call that runs once or of a turn, or passes on a status that is none.
"""

import asyncio
import contextlib
import itertools

import aiohttp
import pytest
from aiohttp import web

from magnoliaroad.routing.circuit_breaker import CircuitBreaker
from tests.entry.engines import event
from tests.entry.hosts import HEADERS, chat_body, host_with_target
from tests.entry.raw_engine import NO_RUNS, NOT_FOUND, body_length
from tests.entry.test_services import payout_edit
from tests.platform.answer_ends import READ_TIME_S, reset
from tests.platform.raw_target import End
from tests.platform.test_broken_answers import (
    EVENT,
    INTERIM,
    SOUND_INTERIM,
    cut_answers,
    invalid_answers,
    upload,
    whole_answers,
)

CHAT = event("one") + b"data: [DONE]\n\n"


class RawServer:
    """Writes ``steps`` as the answer to each request.

    Attributes:
        early: Whether it answers when the head has arrived, and reads no body.
        runs: Number of requests that it was sent.
    """

    steps, early, runs = (), False, 0

    async def serve(self, reader, writer):
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while await self._answer(reader, writer):
                pass
        writer.close()

    async def _answer(self, reader, writer):
        head = (await reader.readuntil(b"\r\n\r\n")).decode().lower()
        length = body_length(head)
        if head.startswith(NO_RUNS):
            await reader.readexactly(length)
            writer.write(NOT_FOUND)
            return True
        self.runs += 1
        if not self.early:
            await reader.readexactly(length)
        data, *ends = self.steps
        writer.write(data)
        await writer.drain()
        if ends == [End.RESET]:
            await asyncio.sleep(READ_TIME_S / 5)
            reset(writer)
        return not ends


@contextlib.asynccontextmanager
async def front_end(edit):
    """Yields a raw server and the URL of a host that has it as its only target."""
    raw = RawServer()
    server = await asyncio.start_server(raw.serve, "127.0.0.1", 0)
    target_url = f"http://127.0.0.1:{server.sockets[0].getsockname()[1]}"

    def use_raw(config, url):
        return edit(config, target_url)

    async with host_with_target(web.Application(), use_raw) as (_, url):
        try:
            yield raw, url
        finally:
            server.close()


async def post(url, **request):
    """Returns status and body of an answer; the body is ``None`` if it was cut."""
    async with (
        aiohttp.ClientSession() as session,
        session.post(url, **request) as resp,
    ):
        try:
            return resp.status, await resp.read()
        except aiohttp.ClientPayloadError:
            return resp.status, None


async def passed_on(raw, answers, call):
    """Returns the answers that callers got as whole ones, by interim and name."""
    passed = {}
    for name, (first, *ends) in answers.items():
        for interim, before in INTERIM.items():
            raw.steps = (before + first, *ends)
            runs = raw.runs
            status, body = await call()
            assert raw.runs > runs, (name, interim, status, body)
            if status < 500 and body is not None:
                passed[interim, name] = status, body
                await asyncio.sleep(READ_TIME_S)
    return passed


def changed(answers, change):
    return {name: (change(first), *ends) for name, (first, *ends) in answers.items()}


async def check_answers(raw, call, body, change=lambda steps: steps):
    whole = await passed_on(raw, changed(whole_answers(), change), call)
    assert set(whole.values()) == {(200, body)}
    assert {interim for interim, _ in whole} == SOUND_INTERIM
    assert len(whole) == len(SOUND_INTERIM) * len(whole_answers())
    assert await passed_on(raw, changed(cut_answers(), change), call) == {}
    assert await passed_on(raw, changed(invalid_answers(), change), call) == {}


@pytest.mark.parametrize("repeatable", [True, False])
async def test_only_whole_answers_of_services_are_passed_on(monkeypatch, repeatable):
    # The only target must not be avoided for its failures.
    monkeypatch.setattr(CircuitBreaker, "record", lambda *args: False)
    async with front_end(payout_edit(repeatable)) as (raw, url):
        ids = itertools.count()

        async def call(data=None):
            # A request that seems to crash its target would be quarantined.
            key = str(next(ids))
            data = data or key.encode()
            sent = HEADERS | {"Idempotency-Key": key}
            return await post(f"{url}/services/payouts/x", data=data, headers=sent)

        await check_answers(raw, call, EVENT)
        raw.early = True
        answers = {"bare": cut_answers()["bare"]} | invalid_answers()
        early = {name: a for name, a in answers.items() if End.RESET in a}
        assert not await passed_on(raw, early, lambda: call(upload()))


def as_chat(answer):
    """Returns an answer with the events of a chat in place of its event."""
    sizes = {b"%x\r\n" % len(EVENT): b"%x\r\n" % len(CHAT)}
    for more in (0, 1):
        length = b"Content-Length: %d\r\n"
        sizes[length % (len(EVENT) + more)] = length % (len(CHAT) + more)
    for before, after in sizes.items():
        answer = answer.replace(before, after)
    return answer.replace(EVENT, CHAT)


@pytest.mark.parametrize("stream", [True, False])
async def test_only_whole_answers_of_engines_are_whole_chats(monkeypatch, stream):
    """A chat that was broken off behind its last event is not whole either."""
    monkeypatch.setattr(CircuitBreaker, "record", lambda *args: False)

    def use_engine(config, url):
        engine = config.targets["engine-1"]._replace(url=url)
        return config._replace(targets={**config.targets, "engine-1": engine})

    async with front_end(use_engine) as (raw, url):
        ids = itertools.count()

        async def call():
            body = chat_body(f"text {next(ids)}", stream=stream)
            path = f"{url}/v1/chat/completions"
            status, answer = await post(path, json=body, headers=HEADERS)
            if answer is None or status != 200:
                return status, None
            marker = b"[DONE]" if stream else b'"content": "one"'
            return status, CHAT if marker in answer else None

        await check_answers(raw, call, CHAT, as_chat)
