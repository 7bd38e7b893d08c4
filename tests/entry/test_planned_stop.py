"""Planned stops of a host, as slow callers see them."""

import asyncio
import socket

from magnoliaroad.standins.deployment import DEMO_KEY
from tests.entry.hosts import host_with_target
from tests.entry.services import BIG_BODY, FaultyService
from tests.entry.test_services import payout_edit
from tests.platform.slow_caller import SlowCaller
from tests.soak.small_buffers import SEND_BUFFER_BYTES


async def test_a_host_that_stops_sends_the_answers_that_are_in_its_buffers():
    """LOST: the server was closed with bytes of whole answers unsent."""
    service = FaultyService()
    async with host_with_target(service.app(), payout_edit()) as (app, url):
        (site,) = app.entry._runner.sites
        for sock in site._server.sockets:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)
        async with SlowCaller(url.removeprefix("http://"), 0.001) as caller:
            await caller.send("/services/payouts/big", "r-1", DEMO_KEY)
            read = asyncio.create_task(caller.read())
            while not service.runs:
                await asyncio.sleep(0.01)
            (conn,) = app.entry._runner.server.connections
            transport = conn.transport
            await app.drain()
            await app.entry.stop()
            assert not transport.get_write_buffer_size()
            assert len((await read).partition(b"\r\n\r\n")[2]) >= len(BIG_BODY)
