"""Hosts as processes whose addresses are taken as they start (FAULT).

Guards against hosts that end by themselves, or never start, since another process holds
one of their ports for a while: their own former process, or an outgoing connection.
"""

import asyncio
import contextlib
import json
import os
import signal
import socket
import sys

import pytest

from tests.platform.deployment import config, free_address
from tests.platform.host_process import read_metrics
from tests.platform.kv_standin import KvStandin
from tests.soak.fleet import HOST_PROGRAM, catches_sigterm

TAKEN_S = 1.5
LISTENERS = ("peers", "metrics", "callers", "ready")


@contextlib.contextmanager
def taken(address):
    """Listens on an address meanwhile."""
    host, _, port = address.rpartition(":")
    with socket.socket() as sock:
        sock.bind((host, int(port)))
        sock.listen()
        yield


@contextlib.asynccontextmanager
async def host_process(tmp_path, listen):
    """Starts a host; ends it if it still runs."""
    kv = await KvStandin().start()
    kv.write("op/config", config())
    settings = {
        "name": "host-1",
        "data_centre": "dc-1",
        "data_folder": str(tmp_path),
        "listen": listen,
        "store": {"url": kv.url},
        "drain": {"notice_s": 0.1},
    }
    path = tmp_path / "settings.json"
    path.write_text(json.dumps(settings))
    env = {**os.environ, "MAGNOLIAROAD_NODE_FILE": str(path)}
    with (tmp_path / "log").open("w") as log:
        proc = await asyncio.create_subprocess_exec(
            sys.executable, HOST_PROGRAM, stdout=log, stderr=log, env=env
        )
    try:
        yield proc
    finally:
        if proc.returncode is None:
            proc.kill()
        await proc.wait()
        await kv.stop()


def logged(tmp_path, event):
    lines = (tmp_path / "log").read_text().splitlines()
    return [line for line in map(json.loads, lines) if line["event"] == event]


async def until_logged(tmp_path, event, proc):
    async with asyncio.timeout(20.0):
        while not logged(tmp_path, event):
            assert proc.returncode is None
            await asyncio.sleep(0.02)


@pytest.mark.parametrize(
    ("names", "name"),
    [
        *((LISTENERS, name) for name in LISTENERS),
        *((LISTENERS[:2], name) for name in LISTENERS[:2]),
    ],
)
async def test_a_host_waits_for_an_address_that_is_taken(tmp_path, names, name):
    listen = {each: free_address() for each in names}
    async with host_process(tmp_path, listen) as proc:
        with taken(listen[name]):
            await until_logged(tmp_path, "waiting for address to listen on", proc)
            if name == "metrics":
                await until_logged(tmp_path, "host started", proc)
            await asyncio.sleep(TAKEN_S)
            assert proc.returncode is None
        await until_logged(tmp_path, "listening after a wait", proc)
        await until_logged(tmp_path, "host started", proc)
        assert await read_metrics(listen["metrics"]) == 200
        proc.send_signal(signal.SIGTERM)
        async with asyncio.timeout(10.0):
            assert await proc.wait() == 0
    waits = logged(tmp_path, "waiting for address to listen on")
    assert {line["address"] for line in waits} == {listen[name]}
    assert len(waits) == 1


@pytest.mark.parametrize("name", ["peers", "callers"])
async def test_a_host_that_waits_for_an_address_can_be_stopped(tmp_path, name):
    listen = {each: free_address() for each in LISTENERS}
    async with host_process(tmp_path, listen) as proc:
        with taken(listen[name]):
            await until_logged(tmp_path, "waiting for address to listen on", proc)
            assert catches_sigterm(proc.pid)
            proc.send_signal(signal.SIGTERM)
            async with asyncio.timeout(5.0):
                assert await proc.wait() == 0
