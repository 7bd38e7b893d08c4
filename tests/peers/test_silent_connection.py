import asyncio
import contextlib
from typing import NamedTuple

import pytest

from magnoliaroad.peers import PeerAddress, PeerError, PeerService
from magnoliaroad.peers.settings import PeerSettings
from magnoliaroad.verdict import Verdict

CFG = PeerSettings(heartbeat_interval_s=0.05, silence_timeout_s=0.2)


class Count(NamedTuple):
    number: int


class Word(NamedTuple):
    text: str


class SilencingProxy:
    """Forwards bytes; after ``silence`` it drops those of the connections then open.

    Both ends keep a connection that looks open but on which nothing arrives.
    """

    def __init__(self, port):
        self.target_port = port
        self.connections = 0
        self._silent_up_to = 0

    def silence(self):
        self._silent_up_to = self.connections

    async def serve(self, reader, writer):
        self.connections += 1
        number = self.connections
        upstream = await asyncio.open_connection("127.0.0.1", self.target_port)
        try:
            await asyncio.gather(
                self._forward(number, reader, upstream[1]),
                self._forward(number, upstream[0], writer),
            )
        except OSError:
            pass
        finally:
            upstream[1].transport.abort()
            writer.transport.abort()

    async def _forward(self, number, reader, writer):
        while data := await reader.read(65536):
            if number > self._silent_up_to:
                writer.write(data)
        writer.close()


@contextlib.asynccontextmanager
async def two_hosts():
    async def count(sender, message):
        return Count(message.number + 1)

    a, b = (PeerService(CFG, name, "127.0.0.1", 0) for name in ("a", "b"))
    for peers in (a, b):
        peers.on(Count, count, reply=Count)
        await peers.start()
    proxy = SilencingProxy(b.port)
    server = await asyncio.start_server(proxy.serve, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    a.set_addresses([PeerAddress("b", "kolkata-1", "127.0.0.1", port)])
    try:
        yield a, b, proxy
    finally:
        await a.stop()
        await b.stop()
        server.close()


async def test_a_silent_connection_is_replaced():
    async with two_hosts() as (a, _, proxy):
        assert await a.call("b", Count(1)) == Count(2)
        proxy.silence()
        with pytest.raises(PeerError) as lost:
            await a.call("b", Count(1), timeout_s=30.0)
        assert lost.value.verdict is Verdict.MAY_HAVE_RUN
        assert await a.call("b", Count(2), timeout_s=30.0) == Count(3)
        assert proxy.connections == 2


async def test_a_peer_restarted_at_the_same_address_is_reached():
    async with two_hosts() as (a, b, proxy):
        await a.call("b", Count(1))
        await b.stop()
        restarted = PeerService(CFG, "b", "127.0.0.1", b.port)

        async def count(sender, message):
            return Count(100)

        restarted.on(Count, count, reply=Count)
        await restarted.start()
        with contextlib.suppress(PeerError):
            await a.call("b", Count(1), timeout_s=30.0)
        assert await a.call("b", Count(1), timeout_s=30.0) == Count(100)
        await restarted.stop()


async def test_an_idle_connection_sends_no_heartbeats_and_is_reused():
    async with two_hosts() as (a, _, proxy):
        await a.call("b", Count(1))
        await asyncio.sleep(0.1)
        conn = a._connections["b"]
        last_received_at = conn._last_received_at
        await asyncio.sleep(0.5)
        assert conn._last_received_at == last_received_at
        assert await a.call("b", Count(1)) == Count(2)
        assert proxy.connections == 1


async def test_a_connection_that_broke_while_idle_fails_one_call():
    async with two_hosts() as (a, _, proxy):
        await a.call("b", Count(1))
        await asyncio.sleep(0.5)
        proxy.silence()
        with pytest.raises(PeerError):
            await a.call("b", Count(1), timeout_s=0.05)
        assert await a.call("b", Count(2), timeout_s=1.0) == Count(3)


async def test_one_way_messages_reach_a_plain_function_in_order():
    async with two_hosts() as (a, b, _):
        received = []
        b.on(Word, lambda sender, word: received.append((sender, word.text)))
        a.on(Word, lambda sender, word: None)
        await a.call("b", Count(1))
        a.send_all(["b", "nobody"], Word("one"))
        a.send("b", Word("two"))
        await a.call("b", Count(1))
        assert received == [("a", "one"), ("a", "two")]
