"""What peers may make a host hold (FAULT)."""

import asyncio
from typing import NamedTuple

from magnoliaroad.peers import PeerAddress, PeerService
from magnoliaroad.peers.inbound import MAX_RUNNING
from magnoliaroad.peers.settings import PeerSettings

CALLS = 2 * MAX_RUNNING


class Count(NamedTuple):
    number: int


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
