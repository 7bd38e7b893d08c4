"""Where streams have begun, over several hosts with faults between them."""

import asyncio

import pytest

from magnoliaroad.relay.stream_messages import StreamBegun
from magnoliaroad.relay.stream_origin import StreamOrigin
from magnoliaroad.relay.stream_origin_service import StreamOriginService
from magnoliaroad.relay.stream_origins import COPIES, StreamOrigins
from tests.fakes.peers import PeerNetwork

RECORD_HOSTS = ["records-1", "records-2", "records-3", "records-4"]
ORIGIN = StreamOrigin("lm", "v1")
STREAMS = [f"stream-{number}" for number in range(20)]


class Fleet:
    """Relay hosts and record hosts on one network."""

    def __init__(self):
        self.network = PeerNetwork()
        self.live = list(RECORD_HOSTS)
        for host in RECORD_HOSTS:
            self.start_record_host(host)

    def start_record_host(self, host):
        StreamOriginService(self.network.join(host))

    def start_relay(self, name):
        peers = self.network.join(name)
        return StreamOrigins(peers, lambda: RECORD_HOSTS, lambda: self.live)


async def record_all(origins):
    for stream in STREAMS:
        origins.record(stream, ORIGIN)
    await asyncio.sleep(0.1)


def test_a_stream_is_found_after_its_relay_host_and_a_record_host_were_lost(loop):
    """Guards against resumed streams being refused after usual faults (LOST)."""

    async def scenario():
        fleet = Fleet()
        await record_all(fleet.start_relay("a"))
        fleet.network.crash("a")
        other = fleet.start_relay("b")
        fleet.network.crash("records-1")
        found = [await other.find(stream) for stream in STREAMS]
        assert found == [ORIGIN] * len(STREAMS)
        # Hosts that differ in the record hosts that they take for live still agree.
        fleet.live.remove("records-1")
        found = [await other.find(stream) for stream in STREAMS]
        assert found == [ORIGIN] * len(STREAMS)

    loop.run_until_complete(scenario())


@pytest.mark.parametrize("live", [0, 1, 2])
def test_a_host_without_all_heartbeats_finds_streams(loop, live):
    """Guards against refusals by hosts that have just started."""

    async def scenario():
        fleet = Fleet()
        await record_all(fleet.start_relay("a"))
        fleet.live = RECORD_HOSTS[:live]
        other = fleet.start_relay("b")
        found = [await other.find(stream) for stream in STREAMS]
        assert found == [ORIGIN] * len(STREAMS)

    loop.run_until_complete(scenario())


def test_a_stream_whose_record_hosts_were_restarted_is_unknown(loop):
    async def scenario():
        fleet = Fleet()
        first = fleet.start_relay("a")
        await record_all(first)
        for host in RECORD_HOSTS:
            fleet.network.crash(host)
            fleet.start_record_host(host)
        assert await fleet.start_relay("b").find(STREAMS[0]) is None
        assert await first.find(STREAMS[0]) == ORIGIN

    loop.run_until_complete(scenario())


def test_a_stream_of_which_record_hosts_disagree_is_unknown(loop):
    """Guards against choosing one of two versions at random (ORDER)."""

    async def scenario():
        fleet = Fleet()
        sender = fleet.network.join("a")
        for number, host in enumerate(RECORD_HOSTS):
            sender.send(host, StreamBegun("s", "lm", f"v{number}"))
        await asyncio.sleep(0.1)
        assert COPIES > 1
        assert await fleet.start_relay("b").find("s") is None

    loop.run_until_complete(scenario())


@pytest.mark.parametrize("stream", ["", "never-seen"])
def test_a_stream_that_was_never_begun_is_unknown(loop, stream):
    async def scenario():
        assert await Fleet().start_relay("a").find(stream) is None

    loop.run_until_complete(scenario())
