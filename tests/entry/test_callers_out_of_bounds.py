"""Crowds of callers that stay within no limit, at the product's own front end.

As in ``tests/platform/test_callers_out_of_bounds``, whose crowd and bounds these keep.
The crowds and bounds were fixed before the product changed.
"""

import asyncio
import contextlib
import json
import os
import sys

import aiohttp
import pytest

from magnoliaroad.config import Team
from magnoliaroad.config.publish import publish
from magnoliaroad.standins.deployment import DEMO_KEY, demo_config
from magnoliaroad.standins.engine_server import EngineServer
from magnoliaroad.standins.kv_server import KvServer
from magnoliaroad.standins.serve_app import serve_app
from magnoliaroad.store.client import HttpStore
from magnoliaroad.store.settings import StoreSettings
from tests.entry.hosts import chat_body
from tests.entry.services import FaultyService
from tests.platform.deployment import free_address
from tests.platform.host_process import HostProcess
from tests.platform.raw_caller import (
    SMALL_BUFFER,
    raw_connection,
    read_answer,
    request_bytes,
)
from tests.platform.test_callers_out_of_bounds import (
    LARGE_CHUNK,
    MEMORY,
    ONE_BYTE,
    Crowd,
    check_process,
    hold,
    until_still,
)

HEADERS = {"Host": "arcade.example", "Authorization": f"Bearer {DEMO_KEY}"}
CHUNKED = HEADERS | {"Transfer-Encoding": "chunked", "Idempotency-Key": "k"}
# Tokens of a long answer of the engine.
LONG_ANSWER_TOKENS = 4000


@contextlib.asynccontextmanager
async def entry_process(tmp_path):
    """Runs a front end with little memory, an engine and a plain service."""
    service, engine = FaultyService(), EngineServer(0.0005, LONG_ANSWER_TOKENS)
    async with (
        serve_app(KvServer().app()) as store_url,
        serve_app(engine.app()) as engine_url,
        serve_app(service.app()) as service_url,
    ):
        config = demo_config(engine_url, service_url)
        team = Team("arcades", rate=10_000.0, burst=10_000.0)
        store = HttpStore(StoreSettings(store_url))
        await publish(store, lambda base: config._replace(teams={team.name: team}))
        await store.close()
        listen = {"callers": free_address(), "peers": free_address()}
        address, _, port = listen["callers"].rpartition(":")
        fields = {
            "name": "host-1",
            "data_centre": "kolkata-1",
            "listen": {
                "address": address,
                "http_port": int(port),
                "peer_port": int(listen["peers"].rpartition(":")[2]),
            },
            "store": {"url": store_url},
            "memory": MEMORY,
        }
        path, log = tmp_path / "settings.json", tmp_path / "log"
        path.write_text(json.dumps(fields))
        with log.open("w") as output:
            proc = await asyncio.create_subprocess_exec(
                *(sys.executable, "-m", "magnoliaroad", "host", str(path)),
                stdout=output,
                stderr=output,
            )
        try:
            host = HostProcess(proc, listen, None, log)
            await until_ready(host)
            yield host
        finally:
            if proc.returncode is None:
                proc.kill()
            await proc.wait()


async def until_ready(host):
    url = f"http://{host.listen['callers']}/ready"
    async with aiohttp.ClientSession() as session, asyncio.timeout(20.0):
        while True:
            assert host.proc.returncode is None, host.log.read_text()[-2000:]
            with contextlib.suppress(aiohttp.ClientConnectionError):
                async with session.get(url) as resp:
                    if resp.status == 200:
                        return
            await asyncio.sleep(0.02)


async def call(host):
    """Sends one ordinary request; returns its status."""
    headers = {**HEADERS, "Idempotency-Key": os.urandom(8).hex()}
    async with raw_connection(host.listen["callers"]) as (reader, writer):
        path = "/services/payouts/small"
        writer.write(request_bytes(headers, path, "POST", body=b"x"))
        return (await read_answer(reader, "POST")).status


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
    async with entry_process(tmp_path) as host:
        async with Crowd(host.listen["callers"], act, SMALL_BUFFER) as crowd:
            await until_still(crowd)
            check_process(host)
            assert await call(host) == 200
        check_process(host)
