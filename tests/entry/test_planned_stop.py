"""Planned stops of a host, as slow callers see them."""

import asyncio
import contextlib
import socket

from magnoliaroad.entry.settings import EntrySettings
from magnoliaroad.standins.deployment import DEMO_KEY
from tests.entry.hosts import HEADERS, host_with_target
from tests.entry.services import BIG_BODY, FaultyService
from tests.entry.test_services import payout_edit
from tests.platform.kept_caller import KeptCaller
from tests.platform.raw_caller import request_bytes
from tests.platform.slow_caller import SlowCaller
from tests.soak.small_buffers import SEND_BUFFER_BYTES


async def test_a_host_that_stops_sends_the_answers_that_are_in_its_buffers():
    """LOST: the server was closed with bytes of whole answers unsent."""
    service = FaultyService()
    async with host_with_target(service.app(), payout_edit()) as (app, url):
        app.entry._listener.socket.setsockopt(
            socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES
        )
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


async def test_connections_in_the_kernels_queue_are_served_at_a_stop():
    """LOST: they were reset when the listening socket was closed."""
    service = FaultyService()
    async with host_with_target(service.app(), payout_edit()) as (app, url):
        # Blocking calls: the host does not accept the connections meanwhile.
        address = ("127.0.0.1", app.entry.port)
        callers = [socket.create_connection(address) for _ in range(3)]
        for caller in callers:
            caller.sendall(
                request_bytes({"Host": "x", **HEADERS}, "/services/payouts/small")
            )
        await _stop(app)
        for caller in callers:
            caller.settimeout(5.0)
            assert caller.recv(12) == b"HTTP/1.1 200"
            caller.close()
    assert service.runs == 3


async def test_requests_on_kept_connections_are_served_at_a_stop():
    """LOST: they were closed with half a head, and answers did not announce it."""
    service = FaultyService()
    async with host_with_target(service.app(), payout_edit()) as (app, url):
        request = request_bytes({"Host": "x", **HEADERS}, "/services/payouts/small")
        async with contextlib.AsyncExitStack() as stack:
            address = url.removeprefix("http://")
            callers = [
                await stack.enter_async_context(KeptCaller(address)) for _ in range(2)
            ]
            for caller in callers:
                await caller.send(request)
                assert await caller.read_status() == 200
            cut, unused = callers
            await cut.send(request[:20])
            stop = asyncio.create_task(_stop(app))
            # Longer than the grace of idle connections.
            await asyncio.sleep(0.6)
            assert unused.is_closed
            assert not cut.is_closed
            await cut.send(request[20:])
            status, headers = await cut.read_head()
            assert (status, headers["connection"]) == (200, "close")
            await stop


async def test_a_late_request_that_cannot_end_before_the_host_is_refused():
    """LOST: it was passed on, and its connection ended without an answer."""
    service = FaultyService()
    entry = EntrySettings(drain_notice_s=0.0, drain_limit_s=2.0)
    async with host_with_target(service.app(), payout_edit(), entry=entry) as (
        app,
        url,
    ):
        sent = request_bytes(
            {"Host": "x", **HEADERS}, "/services/payouts/waits", "POST", body=b"m" * 99
        )
        async with KeptCaller(url.removeprefix("http://")) as caller:
            await caller.send(sent[:-10])
            await asyncio.sleep(0.1)
            stop = asyncio.create_task(_stop(app))
            await asyncio.sleep(1.0)
            await caller.send(sent[-10:])
            status, headers = await caller.read_head()
            await stop
    assert (status, headers["connection"]) == (503, "close")
    assert headers["retry-after"] == "1"
    assert service.runs == 0


async def test_a_request_of_the_notice_gets_a_final_answer():
    """LOST: it was cut off with its connection at the end of the drain."""
    service = FaultyService()
    entry = EntrySettings(drain_notice_s=0.5, drain_limit_s=1.0)
    async with host_with_target(service.app(), payout_edit(), entry=entry) as (
        app,
        url,
    ):
        sent = request_bytes(
            {"Host": "x", **HEADERS}, "/services/payouts/waits", "POST", body=b"m"
        )
        async with KeptCaller(url.removeprefix("http://")) as caller:
            stop = asyncio.create_task(_stop(app))
            await asyncio.sleep(0.1)
            await caller.send(sent)
            status, headers = await caller.read_head()
            await stop
    assert (status, headers["connection"]) == (502, "close")
    assert service.runs == 1


async def _stop(app):
    await app.entry.drain()
    await app.entry.stop()
