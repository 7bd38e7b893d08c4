"""What peers may make a host hold (FAULT)."""

import asyncio
import contextlib
from typing import NamedTuple

import pytest

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
