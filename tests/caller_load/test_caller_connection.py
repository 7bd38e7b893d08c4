"""Connections of callers whose bodies come in chunks of many sizes."""

import asyncio
import contextlib
import itertools
import socket

import pytest
from aiohttp import web

from magnoliaroad.caller_connection import make_connection
from magnoliaroad.caller_load.eviction import ARRIVAL_S, Phase
from magnoliaroad.caller_load.limits import CallerLimits
from magnoliaroad.caller_load.open_connections import OpenConnections
from magnoliaroad.caller_load.parse_turns import (
    FREE_STEPS,
    TURN_STEPS,
    ParseTurns,
    count_steps,
)
from magnoliaroad.caller_load.read_size import FIRST_READ_BYTES, MAX_READ_BYTES
from magnoliaroad.memory.settings import MemorySettings

HEAD = b"POST /x HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
ONE_BYTE = b"1\r\nx\r\n"
BODY_BUFFER_BYTES = 8192


class Transport(asyncio.Transport):
    """Keeps whether it is read and with which size."""

    def __init__(self, sock):
        super().__init__({"socket": sock})
        self.max_size = 0
        self.reads = True
        self.closed = False

    def pause_reading(self):
        self.reads = False

    def resume_reading(self):
        self.reads = True

    def is_closing(self):
        return self.closed

    def close(self):
        self.closed = True

    abort = close

    def write_eof(self):
        pass

    def write(self, data):
        pass

    def get_write_buffer_size(self):
        return 0


class Waiting:
    def take_turn(self):
        pass


class Caller:
    """A connection whose bytes the test gives, and a handler that reads if it may."""

    def __init__(self, sock, limits, connections=None):
        self.may_read = asyncio.Event()
        self.served = []
        server = web.Server(
            self._handle, read_bufsize=BODY_BUFFER_BYTES, access_log=None
        )
        if connections is None:
            connections = OpenConnections("callers", 1000)
        self.conn = make_connection(server, limits, connections)
        self.transport = Transport(sock)
        self.conn.connection_made(self.transport)

    async def _handle(self, req):
        await self.may_read.wait()
        self.served.append(len(await req.read()))
        return web.Response()

    async def send(self, data):
        """Passes bytes on in reads of the size that the connection asks for."""
        while data:
            while not self.transport.reads:
                await asyncio.sleep(0)
            part, data = (
                data[: self.transport.max_size],
                data[self.transport.max_size :],
            )
            self.conn.data_received(part)
            await asyncio.sleep(0)


@pytest.fixture
def limits():
    return CallerLimits(MemorySettings())


@pytest.fixture
def sock():
    with socket.socket() as sock:
        yield sock


async def test_a_read_that_is_parsed_in_parts_does_not_count_as_small_chunks(
    limits, sock
):
    """Guards against large uploads that are slowed down since their reader is late.

    The parser stops once the buffer of the body is full, in the middle of a read.
    """
    caller = Caller(sock, limits)
    await caller.send(HEAD)
    chunk = b"fa0\r\n" + b"x" * 4000 + b"\r\n"
    for _ in range(3):
        caller.conn.data_received(chunk * 3)
    caller.conn.data_received((chunk * 8)[:MAX_READ_BYTES])
    assert caller.transport.max_size == MAX_READ_BYTES
    caller.may_read.set()
    await asyncio.sleep(0.01)
    assert caller.transport.reads
    assert caller.transport.max_size == MAX_READ_BYTES
    assert not len(limits.turns)


async def test_large_chunks_behind_small_ones_are_read_in_large_parts(limits, sock):
    caller = Caller(sock, limits)
    caller.may_read.set()
    await caller.send(HEAD)
    await caller.send(ONE_BYTE * 1000)
    assert caller.transport.max_size == FIRST_READ_BYTES
    await caller.send(b"30d40\r\n" + b"x" * 200_000 + b"\r\n")
    assert caller.transport.max_size == MAX_READ_BYTES
    await caller.send(b"0\r\n\r\n")
    await asyncio.sleep(0.01)
    assert caller.served == [201_000]


async def test_taking_a_request_does_not_end_the_wait_for_a_turn(limits, sock):
    """Guards against bodies that are read out of turn since aiohttp resumes reading."""
    limits.turns._schedule = lambda: None
    limits.turns.spend(TURN_STEPS)
    caller = Caller(sock, limits)
    await caller.send(b"GET /x HTTP/1.1\r\nHost: x\r\n\r\n")
    caller.conn.data_received(HEAD)
    caller.conn.data_received(ONE_BYTE * 60)
    assert len(limits.turns) == 1
    caller.may_read.set()
    await asyncio.sleep(0.01)
    assert len(caller.served) == 1
    assert not caller.transport.reads
    caller.conn.take_turn()
    assert caller.transport.reads


async def test_small_bodies_of_one_connection_take_turns_too(limits, sock):
    """Guards against the same work in many requests that are each read at once."""
    caller = Caller(sock, limits)
    caller.may_read.set()
    await caller.send(HEAD + ONE_BYTE * 2000 + b"0\r\n\r\n")
    await asyncio.sleep(0.01)
    assert caller.transport.max_size == FIRST_READ_BYTES


async def test_requests_behind_a_body_do_not_count_as_its_framing(limits, sock):
    caller = Caller(sock, limits)
    caller.may_read.set()
    length = b"Content-Length: 200009"
    await caller.send(b"POST /x HTTP/1.1\r\nHost: x\r\n" + length + b"\r\n\r\n")
    await caller.send(b"\r\n" * 100_000 + b"12345678")
    await caller.send(b"9" + b"GET /x HTTP/1.1\r\nHost: x\r\n\r\n" * 12)
    assert caller.transport.max_size == MAX_READ_BYTES
    assert not len(limits.turns)


async def test_one_turn_of_the_loop_parses_a_bounded_part_of_many_first_reads(limits):
    """Guards against a crowd whose first reads take the event loop for seconds."""
    callers = []
    with contextlib.ExitStack() as stack:
        for _ in range(500):
            callers.append(Caller(stack.enter_context(socket.socket()), limits))
            callers[-1].may_read.set()
        data = (HEAD + ONE_BYTE * 1000)[:FIRST_READ_BYTES]
        for caller in callers:
            caller.conn.data_received(data)
        begun = [sum(1 for one in callers if one.conn._request_count)]
        while begun[-1] < len(callers):
            await asyncio.sleep(0)
            begun.append(sum(1 for one in callers if one.conn._request_count))
    most = max(later - earlier for earlier, later in itertools.pairwise([0, *begun]))
    assert most * count_steps(data) <= TURN_STEPS + count_steps(data)


async def test_usual_heads_do_not_wait_behind_a_crowd(limits, sock):
    limits.turns.spend(TURN_STEPS)
    for _ in range(20):
        limits.turns.add(Waiting())
    caller = Caller(sock, limits)
    caller.may_read.set()
    fields = b"".join(b"X-%d: x\r\n" % number for number in range(FREE_STEPS - 4))
    caller.conn.data_received(b"GET /x HTTP/1.1\r\nHost: x\r\n" + fields + b"\r\n")
    assert caller.conn._request_count == 1


async def test_a_connection_that_waits_for_its_turn_is_not_idle(limits, sock):
    """Guards against requests that are lost as a drain closes idle connections."""
    caller = Caller(sock, limits)
    await asyncio.sleep(0)
    limits.turns.spend(TURN_STEPS)
    caller.conn.data_received(HEAD + ONE_BYTE * 400)
    assert not caller.conn._request_count
    assert not caller.conn.is_idle()


async def test_what_is_discarded_does_not_wait_for_a_turn(limits, sock):
    """Guards against refusals that are lost as unread bytes reset their connection."""
    caller = Caller(sock, limits)
    await caller.send(HEAD)
    caller.conn.close()
    caller.conn.data_received(ONE_BYTE * 1000)
    assert caller.transport.reads
    assert not len(limits.turns)


async def test_a_caller_that_leaves_while_it_waits_is_not_read_again(limits, sock):
    caller = Caller(sock, limits)
    await caller.send(HEAD)
    limits.turns.spend(TURN_STEPS)
    caller.conn.data_received(ONE_BYTE * 400)
    assert len(limits.turns) == 1
    caller.conn.connection_lost(None)
    await asyncio.sleep(0.05)
    assert not caller.transport.reads
    assert not len(limits.turns)


async def test_a_turn_does_not_resume_a_full_queue_of_requests(limits, sock):
    caller = Caller(sock, limits)
    await caller.send(b"GET /x HTTP/1.1\r\nHost: x\r\n\r\n")
    filler = b"X: " + b"x" * 8000
    head = b"GET /x HTTP/1.1\r\nHost: x\r\n" + filler + b"\r\n\r\n"
    for _ in range(5):
        caller.conn.data_received(head)
    caller.conn.data_received(HEAD)
    limits.turns.spend(TURN_STEPS)
    caller.conn.data_received(ONE_BYTE * 60)
    assert len(limits.turns) == 1
    await asyncio.sleep(0.05)
    assert not len(limits.turns)
    assert not caller.transport.reads
    caller.may_read.set()
    await asyncio.sleep(0.05)
    assert caller.transport.reads
    assert len(caller.served) == 6


def test_turns_go_on_in_another_event_loop(sock):
    """Guards against connections that wait for a turn of a loop that has ended."""
    turns, taken = ParseTurns(), []

    class Conn:
        def take_turn(self):
            taken.append(self)

    async def leave():
        for _ in range(20):
            turns.add(Conn())

    async def wait():
        turns.add(Conn())
        await asyncio.sleep(0.05)

    asyncio.run(leave())
    taken.clear()
    asyncio.run(wait())
    assert len(taken) == 1


async def test_a_request_with_a_length_behind_small_chunks_is_read_in_large_parts(
    limits, sock
):
    caller = Caller(sock, limits)
    caller.may_read.set()
    await caller.send(HEAD + ONE_BYTE * 300)
    await caller.send(ONE_BYTE * 300 + b"0\r\n\r\n")
    await asyncio.sleep(0.01)
    assert caller.transport.max_size == FIRST_READ_BYTES
    length = b"Content-Length: 200000"
    await caller.send(b"POST /x HTTP/1.1\r\nHost: x\r\n" + length + b"\r\n\r\n")
    await caller.send(b"x" * 200_000)
    assert caller.transport.max_size == MAX_READ_BYTES


async def test_a_connection_beyond_the_most_ends_one_that_stopped(limits):
    """Guards against a crowd that stays and so keeps all others from a host."""
    connections = OpenConnections("callers", 3)
    with contextlib.ExitStack() as stack:
        socks = [stack.enter_context(socket.socket()) for _ in range(5)]
        stopped, served, idle = (Caller(one, limits, connections) for one in socks[:3])
        await asyncio.sleep(0)
        stopped.conn.data_received(HEAD + ONE_BYTE)
        served.conn.data_received(b"GET /x HTTP/1.1\r\nHost: x\r\n\r\n")
        await asyncio.sleep(0.01)
        stopped.conn._began_at -= 2 * ARRIVAL_S
        phases = [one.conn.standing().phase for one in (stopped, served, idle)]
        assert phases == [Phase.RECEIVING, Phase.SERVED, Phase.IDLE]
        assert not Caller(socks[3], limits, connections).transport.closed
        assert [one.transport.closed for one in (stopped, served, idle)] == [True, 0, 0]
        idle.conn.data_received(b"GET /x HTTP/1.1\r\nHost: x\r\n\r\n")


async def test_a_connection_is_closed_unread_if_all_others_are_served(limits):
    connections = OpenConnections("callers", 2)
    with contextlib.ExitStack() as stack:
        socks = [stack.enter_context(socket.socket()) for _ in range(3)]
        callers = [Caller(one, limits, connections) for one in socks[:2]]
        await asyncio.sleep(0)
        for caller in callers:
            caller.conn.data_received(b"GET /x HTTP/1.1\r\nHost: x\r\n\r\n")
        await asyncio.sleep(0.01)
        assert Caller(socks[2], limits, connections).transport.closed
        assert not any(caller.transport.closed for caller in callers)
        callers[0].conn.connection_lost(None)
        assert len(connections) == 1
