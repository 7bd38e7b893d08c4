"""Orders to evacuate reach hosts that do not read the store, in virtual time."""

import asyncio
import random

import pytest
from loguru import logger
from magnoliaroad_platform.entry_decoder import PlatformEntryDecoder

from magnoliaroad.evacuation.service import EvacuationService
from magnoliaroad.relay.target import RelayTarget, TargetState
from magnoliaroad.relay.target_table import TargetTable
from magnoliaroad.store import StoreEntry, WatchBatch
from tests.fakes.loop import VirtualTimeLoop
from tests.fakes.peers import PeerNetwork

NAMES = [f"host-{n}" for n in range(9)]
KEY = "op/evacuate/dc-1"
# Time within which no request may reach an evacuated data centre, in seconds.
BOUND_S = 5.0


class Fleet:
    """Hosts of three data centres; the first host of each reads the store."""

    def __init__(self):
        self.network = PeerNetwork()
        self.cut = set()
        self.services = {}

    async def start(self, name):
        peers = self.network.join(name, self.data_centre(name))
        service = EvacuationService(
            PlatformEntryDecoder(),
            TargetTable(),
            peers,
            lambda: self.contacts(name),
            lambda: [
                host
                for host in self.contacts(name)
                if self.data_centre(host) == self.data_centre(name)
            ],
            ("dc-1", "dc-2", "dc-3"),
        )
        self.services[name] = service
        await service.start()
        return service

    def data_centre(self, name):
        return f"dc-{1 + int(name.removeprefix('host-')) % 3}"

    def contacts(self, name):
        side = name in self.cut
        return [n for n in self.services if n != name and (n in self.cut) == side]

    def knowing(self):
        return {n for n, one in self.services.items() if "dc-1" in one.orders}


@pytest.fixture
def fleet():
    return Fleet()


def run(steps):
    random.seed(5)
    loop = VirtualTimeLoop()
    try:
        loop.run_until_complete(steps)
    finally:
        loop.close()


def order(value=b"{}", revision=5):
    return WatchBatch((StoreEntry(KEY, value, revision),), (), revision)


def test_an_order_and_its_withdrawal_reach_all_hosts(fleet):
    async def steps():
        for name in NAMES:
            await fleet.start(name)
        fleet.services["host-0"].on_batch(order())
        await asyncio.sleep(BOUND_S)
        assert fleet.knowing() == set(NAMES)
        fleet.services["host-1"].on_batch(WatchBatch((), (KEY,), 6))
        await asyncio.sleep(BOUND_S)
        assert fleet.knowing() == set()

    run(steps())


@pytest.mark.parametrize("by_snapshot", [False, True])
def test_a_large_fleet_with_one_reader_learns_in_time(fleet, by_snapshot):
    """Guards against hosts that learn by chance alone, some only after the bound."""
    names = [f"host-{number}" for number in range(120)]

    async def steps():
        for name in names:
            service = await fleet.start(name)
            service.on_snapshot({}, 3, False)
        reader = fleet.services["host-0"]
        if by_snapshot:
            reader.on_snapshot({KEY: StoreEntry(KEY, b"{}", 5)}, 5, False)
        else:
            reader.on_batch(order())
        await asyncio.sleep(3.0)
        assert fleet.knowing() == set(names)

    run(steps())


def test_a_host_asks_again_soon_while_peers_know_nothing(fleet):
    """Guards against hosts that restart together and ask each other in vain."""

    async def steps():
        for name in NAMES:
            await fleet.start(name)
        fleet.services["host-0"].on_snapshot({}, 3, False)
        await asyncio.sleep(1.5)
        read = [one.orders.revision for one in fleet.services.values()]
        assert read.count(3) >= 6

    run(steps())


def test_a_host_that_starts_without_the_store_learns_of_an_order(fleet):
    """Guards against a restart that sends requests to an evacuated data centre."""

    async def steps():
        for name in NAMES[:5]:
            await fleet.start(name)
        fleet.services["host-0"].on_batch(order())
        await asyncio.sleep(BOUND_S)
        late = await fleet.start("host-8")
        await asyncio.sleep(2.0)
        assert "dc-1" in late.orders

    run(steps())


def test_hosts_that_were_cut_off_learn_of_a_withdrawal(fleet):
    async def steps():
        for name in NAMES:
            await fleet.start(name)
        fleet.services["host-0"].on_batch(order())
        await asyncio.sleep(BOUND_S)
        fleet.cut = {"host-7", "host-8"}
        fleet.services["host-0"].on_batch(WatchBatch((), (KEY,), 6))
        await asyncio.sleep(BOUND_S)
        assert fleet.knowing() == {"host-7", "host-8"}
        fleet.cut = set()
        await asyncio.sleep(BOUND_S)
        assert fleet.knowing() == set()

    run(steps())


def test_hosts_without_orders_send_no_notices(fleet):
    """Guards against messages in deployments that evacuate nothing."""

    async def steps():
        for name in NAMES:
            service = await fleet.start(name)
            service.on_snapshot({}, 3, False)
        await asyncio.sleep(20.0)
        sent = [peers.sent for peers in fleet.network.hosts.values()]
        assert not any(sent)

    run(steps())


@pytest.mark.parametrize("value", [b"", b"[]", b"\xff", b"5"])
def test_a_malformed_order_holds_by_its_key_and_is_logged(fleet, value):
    async def steps():
        keys = []
        sink = logger.add(
            lambda text: keys.append(text.record["extra"].get("key")), level="WARNING"
        )
        service = await fleet.start("host-0")
        service.on_batch(order(value))
        logger.remove(sink)
        assert "dc-1" in service.orders
        assert keys == [KEY]

    run(steps())


def test_orders_for_unknown_and_for_all_data_centres_are_logged(fleet):
    async def steps():
        lines = []
        sink = logger.add(
            lambda text: lines.append(text.record["message"]), level="WARNING"
        )
        service = await fleet.start("host-0")
        for number in (1, 2):
            target = RelayTarget(
                f"i-{number}", "lm", "10.0.0.1:80", f"dc-{number}", 8, TargetState.READY
            )
            service._table.set(target)
        entries = {
            f"op/evacuate/{name}": StoreEntry(f"op/evacuate/{name}", b"{}", 4)
            for name in ("dc-1", "dc-2", "dc-9")
        }
        service.on_snapshot(entries, 4, False)
        logger.remove(sink)
        assert lines == [
            "evacuation of an unknown data centre",
            "all data centres with targets are evacuated",
        ]

    run(steps())
