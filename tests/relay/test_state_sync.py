"""Where hosts fetch a new configuration."""

import asyncio
import time
from types import SimpleNamespace

import pytest

from magnoliaroad.peers import PeerError
from magnoliaroad.relay.fleet_messages import PlanReply, PlanRequest
from magnoliaroad.relay.state_sync import (
    ANSWER_TIMEOUT_S,
    MAX_PLAN_SPREAD_BYTES,
    StateSync,
)
from magnoliaroad.standins.kv_state import KvState
from magnoliaroad.standins.local_store import LocalStore
from tests.fakes.peers import PeerNetwork
from tests.relay.test_fleet import heartbeat_of

KEY = "op/config"
# Link of the smallest hosts in bytes a second.
LINK_BYTES_PER_S = 1_875_000


class Plans:
    """Versions of the configuration that are offered, by origin."""

    def __init__(self):
        self.version = 0
        self.origins = []

    def offer(self, key, value, origin):
        self.origins.append(origin)
        self.version = int(value)


class Host:
    def __init__(self, near_hosts, store, store_lost=False):
        network = PeerNetwork()
        self.plans = Plans()
        self.sync = StateSync(
            store,
            network.join("host-1"),
            self.plans,
            SimpleNamespace(revision=0),
            SimpleNamespace(lost=store_lost),
            SimpleNamespace(digest=0),
            lambda: near_hosts,
        )
        self.asked = 0
        self.silent = False
        network.join("host-2").on(PlanRequest, self._reply)

    async def _reply(self, sender, req):
        self.asked += 1
        if self.silent:
            await asyncio.sleep(2 * ANSWER_TIMEOUT_S)
        return PlanReply(KEY, b"7")

    async def hear(self, plan_bytes):
        heartbeat = heartbeat_of("host-2", "dc-1")._replace(
            plan_version=7, plan_key=KEY, plan_bytes=plan_bytes
        )
        await self.sync._fetch_plan(heartbeat)


@pytest.fixture
async def store():
    store = LocalStore(KvState(), time.monotonic)
    await store.put(KEY, b"7", 0)
    return store


def test_one_host_serves_a_data_centre_before_the_others_ask_again():
    """Large Tiltbox: late replies were dropped and asked for again for 3.6 s."""
    assert MAX_PLAN_SPREAD_BYTES <= LINK_BYTES_PER_S * ANSWER_TIMEOUT_S


async def test_a_configuration_that_a_peer_does_not_send_in_time_is_read(store):
    """Large Tiltbox: 34 hosts asked the same one again, each time too late."""
    host = Host(4, store)
    host.silent = True
    with pytest.raises(PeerError):
        await host.hear(20_000)
    assert (host.plans.version, host.asked) == (7, 1)


async def test_without_the_store_a_silent_peer_is_all_there_is(store):
    host = Host(4, store, store_lost=True)
    host.silent = True
    with pytest.raises(PeerError):
        await host.hear(20_000)
    assert host.plans.version == 0


async def test_hosts_of_a_large_data_centre_read_a_configuration_from_the_store(store):
    """Large Tiltbox: one host sent 23 KB to each of 70 others, one after the other."""
    host = Host(33, store)
    await host.hear(23_000)
    assert host.plans.version == 7
    assert host.asked == 0


async def test_hosts_of_a_small_data_centre_ask_the_one_that_watches_the_store(store):
    host = Host(4, store)
    await host.hear(23_000)
    assert (host.plans.version, host.asked) == (7, 1)
    assert host.plans.origins == ["host-2"]


async def test_a_large_configuration_is_read_from_the_store_in_any_fleet(store):
    host = Host(1, store)
    await host.hear(61_000)
    assert (host.plans.version, host.asked) == (7, 0)


async def test_without_the_store_a_large_data_centre_asks_its_hosts_too(store):
    host = Host(33, store, store_lost=True)
    await host.hear(23_000)
    assert (host.plans.version, host.asked) == (7, 1)


async def test_an_older_configuration_in_the_store_is_not_enough():
    store = LocalStore(KvState(), time.monotonic)
    await store.put(KEY, b"6", 0)
    host = Host(33, store)
    await host.hear(23_000)
    assert (host.plans.version, host.asked) == (7, 1)
