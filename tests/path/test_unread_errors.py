"""``magnoliaroad host``, whose log goes to standard error, which nobody reads."""

import asyncio
import json
import os
import signal
import sys

import aiohttp
import pytest

from magnoliaroad.standins.kv_server import KvServer
from magnoliaroad.standins.serve_app import serve_app
from tests.fakes.ports import free_port

MALFORMED = b"GET / HTTP/1.1\r\nContent-Length: x\r\n\r\n"
COUNT = 700


async def until_healthy(session, url):
    while True:
        try:
            async with session.get(url) as resp:
                return resp.status
        except aiohttp.ClientError:
            await asyncio.sleep(0.05)


@pytest.mark.parametrize("path", [None, "-"])
async def test_malformed_requests_do_not_block_a_host(tmp_path, path):
    """LOST: the event loop waited for a full pipe, and SIGTERM did not end the host."""
    reader, writer = os.pipe()
    port = free_port()
    url = f"http://127.0.0.1:{port}/health"
    settings = tmp_path / "host.json"
    async with serve_app(KvServer().app()) as store_url:
        cfg = {
            "name": "host-1",
            "data_centre": "kolkata-1",
            "listen": {"address": "127.0.0.1", "http_port": port, "peer_port": 0},
            "store": {"url": store_url},
            "entry": {"drain_notice_s": 0},
            "logs": {"path": path},
        }
        settings.write_text(json.dumps(cfg))
        proc = await asyncio.create_subprocess_exec(
            *(sys.executable, "-m", "magnoliaroad", "host", settings),
            stdout=writer,
            stderr=writer,
            env=os.environ | {"PYTHONPATH": "src"},
        )
        os.close(writer)
        try:
            async with asyncio.timeout(40), aiohttp.ClientSession() as session:
                assert await until_healthy(session, url) == 200
                for _ in range(COUNT):
                    conn = await asyncio.open_connection("127.0.0.1", port)
                    conn[1].write(MALFORMED)
                    assert b" 400 " in await conn[0].read()
                    conn[1].close()
                assert await until_healthy(session, url) == 200
                proc.send_signal(signal.SIGTERM)
                assert await proc.wait() == 0
        finally:
            if proc.returncode is None:
                proc.kill()
                await proc.wait()
            os.close(reader)
