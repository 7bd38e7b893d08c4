"""Tests of the methods that the ``Peers`` interface itself implements."""

import asyncio
from typing import NamedTuple

import pytest

from magnoliaroad.peers import PeerError
from magnoliaroad.verdict import Verdict
from tests.fakes import PeerNetwork, VirtualTimeLoop
from tests.fakes.peers import FakePeers


class Ping(NamedTuple):
    number: int


class SlowToConnect(FakePeers):
    async def call(self, host, message, timeout_s=None):
        await asyncio.sleep(60.0)


def test_the_limit_of_call_within_includes_connecting():
    loop = VirtualTimeLoop()
    peers = SlowToConnect(PeerNetwork(), "a", "kolkata-1")
    with pytest.raises(PeerError) as raised:
        loop.run_until_complete(peers.call_with_deadline("b", Ping(1), 0.2))
    assert raised.value.verdict is Verdict.MAY_HAVE_RUN
    assert loop.time() == pytest.approx(0.2)
    loop.close()
