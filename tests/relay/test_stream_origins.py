"""Where streams have begun, over several hosts with faults between them."""

import asyncio

import pytest

from magnoliaroad.peers import PeerAddress, PeerError, PeerService
from magnoliaroad.peers.settings import PeerSettings
from magnoliaroad.relay.stream_origin import StreamOrigin
from magnoliaroad.relay.stream_origin_service import StreamOriginService
from magnoliaroad.relay.stream_origins import StreamOrigins
from magnoliaroad.verdict import Verdict
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


@pytest.mark.parametrize("live", [(0, 4), (1, 4), (2, 4), (4, 0), (4, 1), (1, 0)])
def test_streams_are_found_though_hosts_lack_heartbeats(loop, live):
    """Guards against refusals where hosts have just started (LOST)."""

    async def scenario():
        fleet = Fleet()
        fleet.live = RECORD_HOSTS[: live[0]]
        await record_all(fleet.start_relay("a"))
        fleet.live = RECORD_HOSTS[: live[1]]
        other = fleet.start_relay("b")
        found = [await other.find(stream) for stream in STREAMS]
        assert found == [ORIGIN] * len(STREAMS)

    loop.run_until_complete(scenario())


def test_streams_that_begin_while_a_record_host_is_slow_are_reported(loop):
    """Guards against reports that are lost while a connection opens (LOST)."""

    async def scenario():
        fleet = Fleet()
        peers = fleet.network.join("a")
        call, calls = peers.call, []

        async def call_slowly(host, message, timeout_s=None):
            calls.append(host)
            await asyncio.sleep(0.5)
            if calls.count(host) == 1:
                raise PeerError("connection refused", Verdict.NOT_RUN)
            return await call(host, message, timeout_s)

        peers.call = call_slowly
        origins = StreamOrigins(peers, lambda: RECORD_HOSTS, lambda: RECORD_HOSTS)
        for stream in STREAMS:
            origins.record(stream, ORIGIN)
        await asyncio.sleep(2.0)
        fleet.network.crash("a")
        other = fleet.start_relay("b")
        found = [await other.find(stream) for stream in STREAMS]
        assert found == [ORIGIN] * len(STREAMS)
        assert len(calls) <= 3 * len(RECORD_HOSTS)

    loop.run_until_complete(scenario())


async def test_streams_that_begin_while_a_connection_opens_are_reported():
    """Guards against reports that are dropped meanwhile (LOST)."""
    services = [
        PeerService(PeerSettings(), name, "127.0.0.1", 0) for name in ("a", "b", "r")
    ]
    for peers in services:
        await peers.start()
    first, second, record_host = services
    StreamOriginService(record_host)
    for peers in (first, second):
        peers.set_addresses([PeerAddress("r", "dc-1", "127.0.0.1", record_host.port)])
    try:
        origins = StreamOrigins(first, lambda: ["r"], lambda: ["r"])
        for stream in STREAMS:
            origins.record(stream, ORIGIN)
            await asyncio.sleep(0)
        await asyncio.sleep(0.1)
        other = StreamOrigins(second, lambda: ["r"], lambda: ["r"])
        found = [await other.find(stream) for stream in STREAMS]
        assert found == [ORIGIN] * len(STREAMS)
    finally:
        for peers in services:
            await peers.stop()


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


@pytest.mark.parametrize("stream", ["", "never-seen"])
def test_a_stream_that_was_never_begun_is_unknown(loop, stream):
    async def scenario():
        assert await Fleet().start_relay("a").find(stream) is None

    loop.run_until_complete(scenario())
