"""Incoming connections that stay silent."""

import asyncio
import contextlib

import pytest

from magnoliaroad.peers import PeerService
from magnoliaroad.peers import service as service_module
from magnoliaroad.peers.frame import Frame, FrameKind, pack_frame
from magnoliaroad.peers.settings import PeerSettings

CFG = PeerSettings(silence_timeout_s=0.2, idle_timeout_s=0.1)


@pytest.fixture
async def peers(monkeypatch):
    monkeypatch.setattr(service_module, "SILENCE_CHECK_S", 0.05)
    service = PeerService(CFG, "host-1", "127.0.0.1", 0)
    await service.start()
    yield service
    await service.stop()


async def test_a_connection_that_stays_silent_is_closed(peers):
    reader, writer = await asyncio.open_connection("127.0.0.1", peers.port)
    with contextlib.suppress(ConnectionError):
        async with asyncio.timeout(20.0):
            assert await reader.read(1) == b""
    assert not peers._inbound
    writer.close()


async def test_a_connection_with_messages_stays_open(peers):
    reader, writer = await asyncio.open_connection("127.0.0.1", peers.port)
    loop = asyncio.get_running_loop()
    ends = loop.time() + 4 * (CFG.silence_timeout_s + CFG.idle_timeout_s)
    while loop.time() < ends:
        writer.write(pack_frame(Frame(FrameKind.HEARTBEAT, 0, "host-2")))
        await asyncio.sleep(0.02)
        assert not reader.at_eof()
    assert len(peers._inbound) == 1
    writer.close()
