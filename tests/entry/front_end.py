"""A front end as a process of its own, with its targets and store in another."""

import asyncio
import contextlib
import json
import os
import sys

import aiohttp

from magnoliaroad.config import Team
from magnoliaroad.config.publish import publish
from magnoliaroad.standins.deployment import DEMO_KEY, demo_config
from magnoliaroad.store.client import HttpStore
from magnoliaroad.store.settings import StoreSettings
from tests.entry.hosts import chat_body
from tests.entry.standins_process import standins_process
from tests.platform.deployment import free_address
from tests.platform.host_process import HostProcess
from tests.platform.raw_caller import raw_connection, read_answer, request_bytes

HEADERS = {"Host": "arcade.example", "Authorization": f"Bearer {DEMO_KEY}"}
# Tokens of a long answer of the engine.
LONG_ANSWER_TOKENS = 4000


@contextlib.asynccontextmanager
async def front_end_process(tmp_path, **settings):
    """Runs a front end, an engine and a plain service."""
    async with standins_process(LONG_ANSWER_TOKENS) as urls:
        config = demo_config(urls.engine, urls.service)
        team = Team("arcades", rate=10_000.0, burst=10_000.0)
        store = HttpStore(StoreSettings(urls.store))
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
            "store": {"url": urls.store},
            **settings,
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


def long_answer():
    """Returns a request with a long answer of the service."""
    headers = {**HEADERS, "Idempotency-Key": os.urandom(8).hex()}
    return request_bytes(headers, "/services/payouts/huge", "POST", body=b"x")


def long_stream():
    """Returns a request with a long answer of the engine."""
    body = json.dumps(chat_body(stream=True, max_tokens=LONG_ANSWER_TOKENS)).encode()
    headers = {**HEADERS, "Content-Type": "application/json"}
    return request_bytes(headers, "/v1/chat/completions", "POST", body=body)
