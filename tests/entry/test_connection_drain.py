"""The end of kept connections during a drain, as their callers see it."""

import asyncio
import contextlib
import time

import pytest
from aiohttp import web

from magnoliaroad.connection_drain import HEAD_LIMIT_S, ConnectionDrain
from magnoliaroad.in_flight import InFlightRequests
from tests.entry.listeners import caller_listener
from tests.platform.kept_caller import KeptCaller

REQUEST = b"GET / HTTP/1.1\r\nHost: x\r\n\r\n"
POST = b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n\r\nmore"
# Longer than the grace of idle connections.
PIECE_PAUSE_S = 0.6
DRAIN_LIMIT_S = 5.0


class Door:
    """A server that counts the requests it answers."""

    def __init__(self):
        self.requests = 0
        self.proceed = asyncio.Event()
        self.proceed.set()
        self.in_flight = InFlightRequests()
        self.server = web.Server(self._answer, access_log=None)
        self.runner = web.ServerRunner(self.server, shutdown_timeout=0.1)

    async def _answer(self, req):
        with self.in_flight:
            await req.read()
            await self.proceed.wait()
            self.requests += 1
            return web.Response(text="whole")

    async def drain(self, limit_s=DRAIN_LIMIT_S):
        await self.listener.stop()
        drain = ConnectionDrain(self.server, self.in_flight)
        return await drain.run(time.monotonic() + limit_s)


@pytest.fixture
async def door():
    door = Door()
    await door.runner.setup()
    door.listener = caller_listener(door.runner)
    await door.listener.start()
    yield door
    await door.runner.cleanup()


@contextlib.asynccontextmanager
async def kept_caller(door):
    host, port = door.listener.socket.getsockname()
    async with KeptCaller(f"{host}:{port}") as caller:
        await caller.send(REQUEST)
        assert await caller.read_status() == 200
        yield caller


async def test_a_request_that_waits_to_be_read_keeps_its_connection_open(door):
    """LOST: the connection was closed and reset."""
    drain = ConnectionDrain(door.server, door.in_flight)
    async with kept_caller(door) as caller:
        drain._close_idle(0.0, DRAIN_LIMIT_S)
        # The event loop does not read the request before the check.
        caller.send_now(REQUEST)
        drain._close_idle(1.0, DRAIN_LIMIT_S)
        assert await caller.read_status() == 200


async def test_an_idle_connection_is_closed_without_delay(door):
    drain = ConnectionDrain(door.server, door.in_flight)
    async with kept_caller(door) as caller:
        drain._close_idle(0.0, DRAIN_LIMIT_S)
        assert not caller.is_closed
        drain._close_idle(1.0, DRAIN_LIMIT_S)
        # The event loop has not run since.
        assert caller.is_closed


@pytest.mark.parametrize(
    ("sent", "cut"), [(REQUEST, 1), (REQUEST, -1), (POST, 20), (POST, -1)]
)
async def test_a_request_in_two_pieces_is_served_during_a_drain(door, sent, cut):
    """LOST: the connection was closed as idle between them."""
    async with kept_caller(door) as caller:
        await caller.send(sent[:cut])
        drain = asyncio.create_task(door.drain())
        await asyncio.sleep(PIECE_PAUSE_S)
        await caller.send(sent[cut:])
        assert await caller.read_status() == 200
        assert await drain
    assert door.requests == 2


@pytest.mark.parametrize("cut", [1, 20, -1])
async def test_half_a_head_behind_a_request_is_served_during_a_drain(door, cut):
    async with kept_caller(door) as caller:
        door.proceed.clear()
        await caller.send(POST)
        while not door.in_flight.count:
            await asyncio.sleep(0)
        await caller.send(REQUEST[:cut])
        drain = asyncio.create_task(door.drain())
        await asyncio.sleep(0.05)
        door.proceed.set()
        await asyncio.sleep(PIECE_PAUSE_S)
        await caller.send(REQUEST[cut:])
        assert [await caller.read_status() for _ in range(2)] == [200, 200]
        assert await drain
    assert door.requests == 3


async def test_a_head_that_does_not_end_gets_408_before_the_drain_does(door):
    async with kept_caller(door) as caller:
        await caller.send(REQUEST[:20])
        assert await door.drain(limit_s=1.5)
        assert await caller.read_status() == 408
    assert door.requests == 1


async def test_a_head_that_does_not_end_does_not_hold_a_long_drain(door, monkeypatch):
    assert HEAD_LIMIT_S == 60.0
    monkeypatch.setattr("magnoliaroad.connection_drain.HEAD_LIMIT_S", 0.5)
    async with kept_caller(door) as caller:
        await caller.send(REQUEST[:20])
        assert await door.drain()
        assert await caller.read_status() == 408


async def test_line_ends_between_requests_are_no_head(door):
    async with kept_caller(door) as caller:
        await caller.send(b"\r\n")
        assert await door.drain(limit_s=2.0)
