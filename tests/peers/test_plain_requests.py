"""Requests that are answered by plain functions."""

import asyncio
from typing import NamedTuple

import pytest

from magnoliaroad.peers import PeerAddress, PeerError, PeerService
from magnoliaroad.peers.frame import Frame, FrameKind, pack_frame
from magnoliaroad.peers.metrics import SENT
from magnoliaroad.peers.settings import PeerSettings


class Ask(NamedTuple):
    number: int


class Told(NamedTuple):
    number: int


class Announcement(NamedTuple):
    text: str


@pytest.fixture
async def hosts():
    services = [
        PeerService(PeerSettings(), name, "127.0.0.1", 0) for name in ("a", "b")
    ]
    for service in services:
        await service.start()
    asker, asked = services
    asker.set_addresses([PeerAddress("b", "", "127.0.0.1", asked.port)])
    asker.register_replies(Told)
    yield asker, asked
    for service in services:
        await service.stop()


async def test_a_plain_function_answers_requests_in_their_order(hosts):
    asker, asked = hosts
    seen = []

    def answer(sender, message):
        seen.append((sender, message.number))
        return Told(message.number + 1)

    asked.on(Ask, answer, Told)
    replies = await asyncio.gather(*(asker.call("b", Ask(n)) for n in range(20)))
    assert replies == [Told(n + 1) for n in range(20)]
    assert seen == [("a", n) for n in range(20)]


async def test_a_plain_function_without_a_reply_answers_a_request(hosts):
    asker, asked = hosts
    asked.on(Ask, lambda sender, message: None)
    assert await asker.call("b", Ask(1)) is None


async def test_an_error_in_a_plain_function_reaches_the_asker(hosts):
    asker, asked = hosts

    def fail(sender, message):
        raise ValueError("not today")

    asked.on(Ask, fail, Told)
    with pytest.raises(PeerError, match="not today"):
        await asker.call("b", Ask(1))
    asked.on(Ask, lambda sender, message: Told(message.number), Told)
    assert await asker.call("b", Ask(1)) == Told(1)


async def test_a_message_that_cannot_be_decoded_is_an_error(hosts):
    asker, asked = hosts
    asked.on(Ask, lambda sender, message: Told(message.number), Told)
    with pytest.raises(PeerError, match="Ask"):
        await asker.call("b", Ask("many"))


async def test_bytes_of_a_message_are_counted_for_each_peer_that_gets_it():
    """Digests to 36 hosts of large Tiltbox were counted as one."""
    sender, *others = services = [
        PeerService(PeerSettings(), name, "127.0.0.1", 0) for name in ("a", "b", "c")
    ]
    received = asyncio.Queue()
    for service in services:
        await service.start()
    for other in others:
        other.on(Announcement, lambda _, message: received.put_nowait(message))
    sender.set_addresses(
        [PeerAddress(other.name, "", "127.0.0.1", other.port) for other in others]
    )
    labels = {"type": "Announcement"}
    sent = []
    for _ in range(2):
        sender.send_all(["b", "c"], Announcement("text"))
        assert [await received.get(), await received.get()] == 2 * [
            Announcement("text")
        ]
        sent.append(SENT.get(labels))
    frame = Frame(FrameKind.SEND, 0, "Announcement", ("text",))
    assert sent == [2 * len(pack_frame(frame)), 4 * len(pack_frame(frame))]
    for service in services:
        await service.stop()
