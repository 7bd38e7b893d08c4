"""Crowds of callers that stay within no limit, at the product's own front end.

As in ``tests/platform/test_callers_out_of_bounds``, whose crowd and bounds these keep.
The crowds and bounds were fixed before the product changed.
"""

import asyncio
import json
import os

import pytest

from tests.entry.front_end import (
    HEADERS,
    LONG_ANSWER_TOKENS,
    call,
    front_end_process,
)
from tests.entry.hosts import chat_body
from tests.platform.crowd import Crowd, until_still
from tests.platform.raw_caller import SMALL_BUFFER, request_bytes
from tests.platform.test_callers_out_of_bounds import (
    LARGE_CHUNK,
    MEMORY,
    ONE_BYTE,
    check_process,
    hold,
)

CHUNKED = HEADERS | {"Transfer-Encoding": "chunked", "Idempotency-Key": "k"}


async def stop_short(crowd, reader, writer, part, count):
    path = "/services/payouts/small"
    await crowd.send(writer, request_bytes(CHUNKED, path, "POST"))
    for _ in range(count):
        await crowd.send(writer, part)
    await hold(reader)


async def large_chunks(crowd, reader, writer):
    await stop_short(crowd, reader, writer, LARGE_CHUNK, 14)


async def small_chunks(crowd, reader, writer):
    await stop_short(crowd, reader, writer, ONE_BYTE * 500, 40)


async def extensions(crowd, reader, writer):
    part = b"1;n=" + b"e" * 3000 + b"\r\nx\r\n"
    await stop_short(crowd, reader, writer, part, 40)


async def small_trailers(crowd, reader, writer):
    await stop_short(crowd, reader, writer, b"1\r\nx\r\n0\r\n" + b"a:b\r\n" * 40_000, 1)


async def slow_reading(crowd, reader, writer):
    headers = {**HEADERS, "Idempotency-Key": os.urandom(8).hex()}
    data = request_bytes(headers, "/services/payouts/big", "POST", body=b"x")
    await crowd.send(writer, data)
    while await reader.read(500):
        await asyncio.sleep(0.05)


async def slow_stream(crowd, reader, writer):
    body = json.dumps(chat_body(stream=True, max_tokens=LONG_ANSWER_TOKENS)).encode()
    headers = {**HEADERS, "Content-Type": "application/json"}
    path = "/v1/chat/completions"
    await crowd.send(writer, request_bytes(headers, path, "POST", body=body))
    while await reader.read(500):
        await asyncio.sleep(0.05)


async def unread(crowd, reader, writer):
    """Sends a body to an address that does not read it."""
    headers = HEADERS | {"Transfer-Encoding": "chunked"}
    await crowd.send(writer, request_bytes(headers, "/metrics"))
    for _ in range(40):
        await crowd.send(writer, ONE_BYTE * 500)
    await hold(reader)


ACTS = [
    large_chunks,
    small_chunks,
    extensions,
    small_trailers,
    slow_reading,
    slow_stream,
    unread,
]


@pytest.mark.parametrize("act", ACTS)
async def test_a_crowd_leaves_the_front_end_alive_and_serving(tmp_path, act):
    async with front_end_process(tmp_path, memory=MEMORY) as host:
        async with Crowd(host.listen["callers"], act, SMALL_BUFFER) as crowd:
            await until_still(crowd)
            check_process(host)
            assert await call(host) == 200
        check_process(host)
