"""Errors of the host's components, which must not be taken for a lost caller."""

import asyncio
import json
import socket

import pytest
from loguru import logger

from tests.entry.engines import StallingEngine
from tests.entry.hosts import HEADERS, chat_body, host_with_target
from tests.entry.services import BIG_BODY, FaultyService
from tests.entry.test_services import PAID, payout_edit
from tests.platform.raw_caller import (
    SMALL_BUFFER,
    raw_connection,
    read_head,
    read_rest,
    request_bytes,
)

ERRORS = [ConnectionResetError("peer"), asyncio.CancelledError(), TimeoutError()]
ANSWER_LIMIT_S = 3.0


def raising(exc):
    async def call(*args, **kwargs):
        raise exc

    return call


def request(path, body=b"x", headers=HEADERS):
    return request_bytes({"Host": "x", **headers}, path, "POST", body=body)


def chat_request(stream=False):
    body = json.dumps(chat_body(stream=stream)).encode()
    return request("/v1/chat/completions", body)


@pytest.fixture
def events():
    """Names of the log's events."""
    lines = []
    handler_id = logger.add(lambda line: lines.append(line.record["message"]))
    yield lines
    logger.remove(handler_id)


@pytest.mark.parametrize("exc", ERRORS, ids=repr)
@pytest.mark.parametrize("kind", ["service", "chat"])
async def test_a_failed_component_is_answered_as_a_failure_of_the_host(
    monkeypatch, events, exc, kind
):
    """LOST: the answer was 499, or the connection closed without one."""
    service = FaultyService() if kind == "service" else StallingEngine()
    edit = {"edit": payout_edit()} if kind == "service" else {}
    sent = request("/services/payouts/small") if edit else chat_request()
    async with host_with_target(service.app(), **edit) as (app, url):
        monkeypatch.setattr(app.limits, "admit", raising(exc))
        async with raw_connection(url.removeprefix("http://")) as (reader, writer):
            writer.write(sent)
            async with asyncio.timeout(ANSWER_LIMIT_S):
                status, headers = await read_head(reader)
            body = await reader.readexactly(int(headers["content-length"]))
    assert status == 500
    assert b'"code": "internal_error"' in body
    assert "request failed" in events
    assert not service.runs


@pytest.mark.parametrize("exc", ERRORS, ids=repr)
async def test_a_failed_record_of_a_call_is_answered_as_a_failure_of_the_host(
    monkeypatch, exc
):
    """LOST: the call had run, and the caller got 499 or nothing."""
    service = FaultyService()
    async with host_with_target(service.app(), payout_edit(False)) as (app, url):
        monkeypatch.setattr(app.once, "finish", raising(exc))
        async with raw_connection(url.removeprefix("http://")) as (reader, writer):
            writer.write(request("/services/payouts/small", headers=PAID))
            async with asyncio.timeout(ANSWER_LIMIT_S):
                status, headers = await read_head(reader)
            body = await reader.readexactly(int(headers["content-length"]))
    assert (status, service.runs) == (500, 1)
    assert b'"verdict": "may have run"' in body


@pytest.mark.parametrize(
    "exc", [*ERRORS, RuntimeError("failure in the host")], ids=repr
)
async def test_nothing_follows_a_stream_that_had_begun(monkeypatch, events, exc):
    """MIXED: an error's answer must not stand in the middle of a stream."""
    engine = StallingEngine()
    engine.proceed.set()
    async with host_with_target(engine.app()) as (app, url):
        monkeypatch.setattr(app.programs, "finish", raising(exc))
        async with raw_connection(url.removeprefix("http://")) as (reader, writer):
            writer.write(chat_request(stream=True))
            received = await read_rest(reader)
    assert received.count(b"HTTP/1.1") <= 1
    assert b"[DONE]" not in received
    assert not received.endswith(b"0\r\n\r\n")
    assert "request failed" in events


@pytest.mark.parametrize(
    "exc", [*ERRORS, RuntimeError("failure in the host")], ids=repr
)
async def test_an_error_after_the_whole_answer_does_not_cut_it(monkeypatch, exc):
    """LOST: the end of an answer that was read slowly."""
    service = FaultyService()
    async with host_with_target(service.app(), payout_edit(False)) as (app, url):
        monkeypatch.setattr(app.once, "finish", raising(exc))
        monkeypatch.setattr(
            app.once, "cfg", app.once.cfg._replace(answer_limit_bytes=1000)
        )
        app.entry._listener.socket.setsockopt(
            socket.SOL_SOCKET, socket.SO_SNDBUF, SMALL_BUFFER
        )
        address = url.removeprefix("http://")
        async with raw_connection(address, SMALL_BUFFER) as (reader, writer):
            writer.write(request("/services/payouts/big", headers=PAID))
            received = await read_rest(reader, limit_s=1.0)
    head, _, body = received.partition(b"\r\n\r\n")
    assert head.startswith(b"HTTP/1.1 200")
    assert body.endswith(b"0\r\n\r\n")
    assert len(body) > len(BIG_BODY)
    assert received.count(b"HTTP/1.1") == 1


async def test_a_caller_that_leaves_is_no_failure_of_the_host(events):
    service = FaultyService()
    async with host_with_target(service.app(), payout_edit()) as (app, url):
        async with raw_connection(url.removeprefix("http://")) as (_, writer):
            writer.write(request("/services/payouts/waits"))
            while not service.runs:
                await asyncio.sleep(0.01)
        assert await app.entry.in_flight.wait_idle(ANSWER_LIMIT_S)
    assert "request failed" not in events
    assert "refused" not in events
