"""Hosts whose store gives answers that cannot be used (FAULT).

Guards against hosts that end one after the other, as a background task fails on such an
answer, or for the memory that it takes.
"""

import asyncio
import base64
import itertools
import json

import aiohttp
import pytest
from aiohttp import web

from tests.platform.deployment import config, route
from tests.platform.host_process import (
    HEADERS,
    RECORD_LISTENERS,
    RELAY_LISTENERS,
    host_process,
)
from tests.platform.target_standin import TargetStandin

# How long the store gives such answers, and the interval of payments, in seconds.
ODD_S = 3.0
PAYMENT_INTERVAL_S = 0.1
# A host holds 45 to 50 MB at rest; the platform ends the smallest at 150 MB.
MOST_MB = 100.0
# Prefixes that a host watches.
WATCHED = {RELAY_LISTENERS: ("op/", "servers/"), RECORD_LISTENERS: ("op/retire/",)}
ENTRY = b'{"key":"op/config","value":"e30=","revision":-1}'
BODIES = {
    "odd fields": json.dumps(
        {
            "items": {"a": [1, None]},
            "as_of": "x",
            "lease": -1,
            "events": 5,
            "ok": "no",
            "revision": None,
        }
    ).encode(),
    "array": b"[]",
    "null": b"null",
    "odd events": b'{"events":[1,null,{"key":5}],"items":[null],"as_of":1000}',
    "revision 0": b'{"events":[],"items":[],"as_of":0,"more_pages":false}',
    "going back": b'{"events":[],"items":[],"as_of":1,"more_pages":true}',
    "other field": b'{"items":[' + b",".join([ENTRY] * 1000) + b"]}",
}


@pytest.mark.parametrize("names", [RELAY_LISTENERS, RECORD_LISTENERS])
@pytest.mark.parametrize("kind", BODIES)
async def test_a_host_outlives_answers_that_cannot_be_used(tmp_path, kind, names):
    assert await outlive(tmp_path, names, with_body(BODIES[kind]))


@pytest.mark.parametrize("names", [RELAY_LISTENERS, RECORD_LISTENERS])
@pytest.mark.parametrize("kind", ["40 MB", "body", "slow body", "pages", "head"])
async def test_a_host_outlives_answers_without_an_end(tmp_path, kind, names):
    large = b'{"items":[' + b",".join([ENTRY] * (40_000_000 // len(ENTRY))) + b"]}"
    replace_answer = {
        "40 MB": with_body(large),
        "body": endless_body,
        "slow body": slow_body,
        "pages": endless_pages(),
        "head": endless_head,
    }
    await outlive(tmp_path, names, replace_answer[kind])


async def endless_body(req, resp):
    answer = web.StreamResponse()
    await answer.prepare(req)
    while True:
        await answer.write(b" " * 100_000)


async def slow_body(req, resp):
    answer = web.StreamResponse()
    await answer.prepare(req)
    while True:
        await answer.write(b" ")
        await asyncio.sleep(0.01)


async def endless_head(req, resp):
    req.transport.write(b"HTTP/1.1 200 OK\r\n")
    number = 0
    while not req.transport.is_closing():
        number += 1
        if req.transport.get_write_buffer_size() < 100_000:
            req.transport.write(b"X-Field-%d: " % number + b"x" * 4_000 + b"\r\n")
        await asyncio.sleep(0)
    return resp


def endless_pages():
    numbers = itertools.count()
    value = base64.b64encode(b"x" * 50_000).decode()

    async def replace(req, resp):
        prefix = req.query.get("path_prefix", "")
        items = [
            {"key": f"{prefix}{next(numbers):012}", "value": value, "revision": 3}
            for _ in range(20)
        ]
        fields = {"items": items, "events": items, "more_pages": True, "as_of": 1000}
        return web.json_response(fields)

    return replace


def with_body(body):
    async def replace(req, resp):
        return web.Response(body=body, content_type="application/json")

    return replace


async def outlive(tmp_path, names, replace_answer):
    """Runs a host whose store's answers are replaced for ``ODD_S``, then sound.

    Returns the lines in which the host has logged answers as not usable.
    """
    target = TargetStandin("i-app", "app")
    async with host_process(tmp_path, target, names=names) as host:
        relays = names == RELAY_LISTENERS
        await (host.until_ready() if relays else host.until_logged("host started"))
        statuses = []
        async with asyncio.timeout(10.0):
            while not all(host.kv.open_watches[prefix] for prefix in WATCHED[names]):
                await asyncio.sleep(0.02)
        host.kv.replace_answer = replace_answer
        # Ends the present watches, which may wait for longer.
        for prefix in WATCHED[names]:
            host.kv.write(f"{prefix}other", {})
        calls_before = len(host.kv.calls)
        async with asyncio.timeout(ODD_S + 10.0), aiohttp.ClientSession() as session:
            loop = asyncio.get_running_loop()
            ends = loop.time() + ODD_S
            while loop.time() < ends:
                await asyncio.sleep(PAYMENT_INTERVAL_S)
                if relays:
                    statuses.append(await pay(session, host, "/pay/x"))
            calls = len(host.kv.calls) - calls_before
            host.kv.replace_answer = None
            routes = [*config()["routes"], route("new", "/new/", "unsafe", "app")]
            host.kv.write("op/config", config(version=4, routes=routes))
            while relays and await pay(session, host, "/new/x") == 404:
                await asyncio.sleep(0.05)
        assert host.proc.returncode is None, host.log.read_text()[-2000:]
        assert set(statuses) <= {200}
        assert host.peak_mb() < MOST_MB
        # About 60 with back-offs of 0.1 to 0.8 s in each of a host's tasks.
        assert calls < 200
        lines = host.logged("answer of the store not usable")
        assert len(lines) < 20
        return lines


async def pay(session, host, path):
    url = f"http://{host.listen['callers']}{path}"
    async with session.post(url, data=b"x", headers=HEADERS) as resp:
        return resp.status
