"""What peers may make a host hold (FAULT)."""

import asyncio
import contextlib
import socket
from typing import NamedTuple

import msgpack
import pytest

from magnoliaroad.memory.settings import MemorySettings
from magnoliaroad.peers import MessageCatalogue, PeerAddress, PeerService
from magnoliaroad.peers.frame import (
    LARGE_FRAME_BYTES,
    MAX_FRAME_BYTES,
    Frame,
    FrameKind,
    FrameReader,
    pack_frame,
)
from magnoliaroad.peers.frame_memory import FrameMemory
from magnoliaroad.peers.inbound import MAX_RUNNING
from magnoliaroad.peers.service import STALL_S
from magnoliaroad.peers.settings import PeerSettings

HALF = b"\x94\x03\x00\xa1x\xc6" + (7_900_000).to_bytes(4, "big") + b"x" * 500_000
CALLS = 2 * MAX_RUNNING


class Count(NamedTuple):
    number: int


class Text(NamedTuple):
    data: bytes


def packed(message):
    fields = MessageCatalogue().pack(message)
    return pack_frame(Frame(FrameKind.SEND, 0, *fields))


def read(reader, data, step):
    catalogue = MessageCatalogue([Count, Text])
    pieces = [data[at : at + step] for at in range(0, len(data), step)]
    frames = [frame for piece in pieces for frame in reader.feed(piece)]
    return [catalogue.unpack(frame.tag, frame.fields) for frame in frames]


@pytest.mark.parametrize("size", [10, LARGE_FRAME_BYTES - 10, LARGE_FRAME_BYTES * 3])
@pytest.mark.parametrize("step", [7, 1000, 65_536, 10**7])
def test_frames_are_read_however_they_are_cut(size, step):
    sent = [Count(1), Text(b"x" * size), Count(2), Count(3), Text(b"y" * size)]
    memory = FrameMemory()
    data = b"".join(map(packed, sent))
    assert read(FrameReader(memory), data, step) == sent
    assert memory.held_bytes == 0


@pytest.mark.parametrize("opening", [b"\xdd\xff\xff\xff\xff", b"\xc6\x7f\xff\xff\xff"])
def test_a_frame_without_end_is_refused(opening):
    reader = FrameReader(FrameMemory(2 * MAX_FRAME_BYTES))
    with pytest.raises(ValueError, match="frame of more|Unpack|exceeds"):
        read(reader, HALF[:5] + opening + b"\x80" * (MAX_FRAME_BYTES + 10**6), 65_536)


@pytest.mark.parametrize("opening", [b"POST / HTTP/1.1", b"\xdd\xff", b"\x93\x03"])
def test_what_is_no_frame_is_refused_at_its_first_byte(opening):
    """Guards against the work and memory of scanning what callers send to peers."""
    memory = FrameMemory()
    with pytest.raises(ValueError, match="not a frame"):
        FrameReader(memory).feed(opening)
    assert memory.held_bytes == 0


def test_the_oldest_incomplete_frame_is_dropped():
    memory = FrameMemory(1_200_000)
    dropped = []
    old, new = (
        FrameReader(memory, lambda name=name: dropped.append(name))
        for name in ("old", "new")
    )
    old.feed(HALF)
    new.feed(HALF)
    assert dropped == []
    new.feed(b"x" * 300_000)
    assert dropped == ["old"]
    with pytest.raises(ValueError, match="dropped"):
        old.feed(b"x")
    assert memory.held_bytes == len(HALF) + 300_000
    new.close()
    assert memory.held_bytes == 0


async def test_large_messages_arrive_beside_frames_that_never_end():
    async def size(sender, message):
        return Count(len(message.data))

    called, caller = (
        PeerService(PeerSettings(), name, "127.0.0.1", 0) for name in "ab"
    )
    async with called, caller, contextlib.AsyncExitStack() as stack:
        called.on(Text, size, Count)
        caller.register_replies(Count)
        caller.set_addresses([PeerAddress("a", "", "127.0.0.1", called.port)])
        for _ in range(40):
            _, writer = await asyncio.open_connection("127.0.0.1", called.port)
            stack.callback(writer.transport.abort)
            writer.write(HALF)
        await asyncio.sleep(0.2)
        reply = await caller.call("a", Text(b"x" * 4_000_000))
    assert reply == Count(4_000_000)


async def test_what_peers_do_not_read_is_bounded_over_all_connections():
    """Guards against heartbeats whose answers nobody reads, each within its bound."""
    memory = MemorySettings(limit_mb=20)
    heartbeats = pack_frame(Frame(FrameKind.HEARTBEAT, 0, "n" * 10_000)) * 100
    most, streams = 0, []
    async with (
        PeerService(PeerSettings(), "a", "127.0.0.1", 0, memory) as called,
        contextlib.AsyncExitStack() as stack,
    ):
        # Connections inherit the size from the listening socket.
        listening = called._server.sockets[0]
        listening.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
        for _ in range(80):
            sock = socket.socket()
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            sock.setblocking(False)
            address = ("127.0.0.1", called.port)
            await asyncio.get_running_loop().sock_connect(sock, address)
            streams.append(await asyncio.open_connection(sock=sock))
            transport = streams[-1][1].transport
            stack.callback(transport.abort)
            transport.pause_reading()
            transport.write(heartbeats)
            await asyncio.sleep(0.01)
            most = max(most, called.held_bytes())
    assert LARGE_FRAME_BYTES < most < 2 * memory.unread_bytes


async def test_a_peer_that_stalls_is_closed_for_memory_and_no_other():
    async with (
        PeerService(PeerSettings(), "a", "127.0.0.1", 0) as called,
        contextlib.AsyncExitStack() as stack,
    ):
        streams = []
        for data in (HALF, pack_frame(Frame(FrameKind.HEARTBEAT, 0, "b"))):
            streams.append(await asyncio.open_connection("127.0.0.1", called.port))
            stack.callback(streams[-1][1].transport.abort)
            streams[-1][1].write(data)
        (stalled, _), (sound, _) = streams
        await sound.read(1)
        while called.held_bytes() < len(HALF):
            await asyncio.sleep(0.01)
        assert called.shed(1) == 0
        await asyncio.sleep(2 * STALL_S)
        assert called.shed(10**9) >= len(HALF)
        assert await stalled.read() == b""
        assert not sound.at_eof()


async def test_a_peer_gets_a_bounded_number_of_messages_handled_at_once():
    running, most = 0, 0

    async def count(sender, message):
        nonlocal running, most
        running += 1
        most = max(most, running)
        await asyncio.sleep(0.5)
        running -= 1
        return Count(message.number + 1)

    called, caller = (
        PeerService(PeerSettings(), name, "127.0.0.1", 0) for name in "ab"
    )
    async with called, caller:
        called.on(Count, count, Count)
        caller.register_replies(Count)
        caller.set_addresses([PeerAddress("a", "", "127.0.0.1", called.port)])
        calls = (caller.call("a", Count(number), 20.0) for number in range(CALLS))
        replies = await asyncio.gather(*calls)
    assert replies == [Count(number + 1) for number in range(CALLS)]
    assert most == MAX_RUNNING


async def test_large_replies_wait_until_the_peer_has_read_those_before():
    """Guards against hosts that hold as many replies as one peer asks for (FAULT)."""
    size, most = 300_000, 0

    async def large(sender, message):
        nonlocal most
        most = max(most, called.held_bytes())
        return Text(bytes(size))

    called, caller = (
        PeerService(PeerSettings(), name, "127.0.0.1", 0) for name in "ab"
    )
    async with called, caller:
        called.on(Count, large, Text)
        caller.register_replies(Text)
        caller.set_addresses([PeerAddress("a", "", "127.0.0.1", called.port)])
        calls = (caller.call("a", Count(number), 20.0) for number in range(200))
        replies = await asyncio.gather(*calls)
    assert replies == [Text(bytes(size))] * 200
    assert 0 < most < 4 * size


async def test_a_small_reply_passes_large_ones_that_wait():
    async def reply(sender, message):
        return Text(bytes(message.number))

    async with PeerService(PeerSettings(), "a", "127.0.0.1", 0) as called:
        called.on(Count, reply, Text)
        reader, writer = await asyncio.open_connection("127.0.0.1", called.port)
        fields = MessageCatalogue().pack
        for number, size in enumerate([8_000_000, 300_000, 300_000, 10], 1):
            tag, packed_fields = fields(Count(size))
            writer.write(
                pack_frame(Frame(FrameKind.REQUEST, number, tag, packed_fields))
            )
        unpacker, numbers = msgpack.Unpacker(max_buffer_size=0), []
        while len(numbers) < 4:
            unpacker.feed(await reader.read(65_536))
            numbers += [frame[1] for frame in unpacker]
        writer.transport.abort()
    assert numbers == [1, 4, 2, 3]
