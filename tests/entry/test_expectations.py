"""Callers that wait for 100 Continue, and bodies that do not arrive properly."""

import asyncio
import contextlib
import json

import pytest

from magnoliaroad.entry.settings import EntrySettings
from tests.entry.hosts import HEADERS, host_with_target
from tests.entry.services import FaultyService
from tests.entry.test_services import payout_edit
from tests.platform.raw_caller import (
    raw_connection,
    read_head,
    read_rest,
    request_bytes,
)

CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
PATH = "/services/payouts/small"
MAX_BODY_BYTES = 1000


@pytest.fixture
def service():
    return FaultyService()


@contextlib.asynccontextmanager
async def caller_of(service):
    entry = EntrySettings(max_body_bytes=MAX_BODY_BYTES, drain_notice_s=0.0)
    async with (
        host_with_target(service.app(), payout_edit(), entry=entry) as (_, url),
        raw_connection(url.removeprefix("http://")) as streams,
    ):
        yield streams


def request(body=b"", path=PATH, version="1.1", **changes):
    headers = {"Host": "x", **HEADERS}
    headers |= {name.replace("_", "-"): value for name, value in changes.items()}
    return request_bytes(headers, path, "POST", version, body)


async def read_answer(reader):
    async with asyncio.timeout(2.0):
        status, headers = await read_head(reader)
        body = await reader.readexactly(int(headers["content-length"]))
    return status, headers, json.loads(body)


@pytest.mark.parametrize("value", ["100-continue", "100-Continue"])
async def test_a_caller_that_waits_for_100_continue_is_served(service, value):
    async with caller_of(service) as (reader, writer):
        for run in (1, 2):
            writer.write(request(Expect=value, Content_Length="5"))
            async with asyncio.timeout(2.0):
                assert await reader.readexactly(len(CONTINUE)) == CONTINUE
            writer.write(b"money")
            status, headers, body = await read_answer(reader)
            assert (status, body) == (200, {"run": run})
            assert "connection" not in headers


@pytest.mark.parametrize(
    ("changes", "status", "code"),
    [
        ({"Authorization": "Bearer stolen"}, 401, "key_unknown"),
        ({"Content_Length": "2000"}, 413, "request_entity_too_large"),
        ({"Expect": "200-ok"}, 417, "unknown_expectation"),
    ],
)
async def test_a_refusal_does_not_wait_for_the_body(service, changes, status, code):
    async with caller_of(service) as (reader, writer):
        fields = {"Expect": "100-continue", "Content_Length": "5"} | changes
        writer.write(request(**fields))
        got, headers, answer = await read_answer(reader)
    assert (got, headers["connection"]) == (status, "close")
    assert answer["error"]["code"] == code
    assert answer["error"]["verdict"] == "not run"
    assert not service.runs


async def test_no_100_continue_for_bodies_that_came_along(service):
    async with caller_of(service) as (reader, writer):
        writer.write(request(b"money", Expect="100-continue"))
        assert (await read_answer(reader))[0] == 200
        writer.write(request(Expect="100-continue", Content_Length="0"))
        assert (await read_answer(reader))[0] == 200


async def test_a_body_that_is_too_large_is_refused_once(service):
    async with caller_of(service) as (reader, writer):
        writer.write(request(Transfer_Encoding="chunked"))
        piece = b"258\r\n" + bytes(600) + b"\r\n"
        writer.write(piece + piece + b"0\r\n\r\n")
        status, _, answer = await read_answer(reader)
        assert (status, answer["error"]["verdict"]) == (413, "not run")
        assert await read_rest(reader, limit_s=0.5) == b""
    assert not service.runs


async def test_a_malformed_body_is_refused_once(service):
    """LOST: the request waited until its caller left."""
    async with caller_of(service) as (reader, writer):
        writer.write(request(Transfer_Encoding="chunked") + b"3\r\nabc\r\n")
        await asyncio.sleep(0.05)
        writer.write(b"zz\r\nabc\r\n")
        status, headers, answer = await read_answer(reader)
        assert (status, headers["connection"]) == (400, "close")
        assert answer["error"]["verdict"] == "not run"
        assert await read_rest(reader, limit_s=0.5) == b""
    assert not service.runs


async def test_a_body_that_cannot_be_decompressed_is_refused_as_not_run(service):
    async with caller_of(service) as (reader, writer):
        writer.write(request(b"not gzip", Content_Encoding="gzip"))
        status, _, answer = await read_answer(reader)
        assert (status, answer["error"]["verdict"]) == (400, "not run")


async def test_a_stalled_body_is_refused_as_not_run(service, monkeypatch):
    monkeypatch.setattr("magnoliaroad.entry.body.BODY_STALL_S", 0.3, raising=False)
    async with caller_of(service) as (reader, writer):
        writer.write(request(Content_Length="5") + b"mon")
        status, headers, answer = await read_answer(reader)
        assert (status, headers["connection"]) == (408, "close")
        assert answer["error"]["verdict"] == "not run"
    assert not service.runs
