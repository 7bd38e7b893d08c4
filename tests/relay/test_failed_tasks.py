"""What tasks that have failed midway leave behind (FAULT).

Guards against tasks that run again but wait for an event that has come already.
"""

import asyncio

import pytest

from magnoliaroad.quarantine import QuarantineService, QuarantineSettings
from magnoliaroad.quarantine.entry import cleared
from magnoliaroad.quarantine.stored_list import read_blocklist
from magnoliaroad.relay.escrow_messages import EscrowRequest
from magnoliaroad.relay.escrow_service import EscrowService
from magnoliaroad.relay.leased_entry import LeasedEntry
from magnoliaroad.relay.settings import RelayListen, RelaySettings
from magnoliaroad.standins.faults import StoreFaults
from magnoliaroad.standins.kv_state import KvState
from magnoliaroad.standins.local_store import LocalStore
from magnoliaroad.store import StoreUnavailable
from magnoliaroad.store.contact import StoreContact
from magnoliaroad.store.observed import ObservedStore
from magnoliaroad.store.settings import StoreSettings
from tests.fakes.peers import PeerNetwork


async def fail(*args, **kwargs):
    raise TypeError("unexpected")


@pytest.fixture
def store(loop):
    return LocalStore(KvState(), loop.time)


def test_a_lost_store_is_found_again_after_probes_that_failed_unexpectedly(
    loop, store, monkeypatch
):
    async def scenario():
        observed = ObservedStore(store)
        contact = StoreContact(observed, "hosts/a", loop.time)
        await contact.start()
        store.faults = StoreFaults(down=True)
        with pytest.raises(StoreUnavailable):
            await observed.list("hosts/")
        await asyncio.sleep(1.0)
        assert contact.lost
        with monkeypatch.context() as patch:
            patch.setattr(observed, "ping", fail)
            await asyncio.sleep(2.0)
        store.faults = StoreFaults()
        await asyncio.sleep(5.0)
        assert not contact.lost
        await contact.stop()

    loop.run_until_complete(scenario())


def test_all_are_told_that_the_store_is_back_though_one_fails(loop, store, logged):
    async def scenario():
        observed, told = ObservedStore(store), []
        contact = StoreContact(observed, "hosts/a", loop.time)
        contact.on_regained += [lambda: {}["missing"], lambda: told.append(1)]
        await contact.start()
        store.faults = StoreFaults(down=True)
        with pytest.raises(StoreUnavailable):
            await observed.list("hosts/")
        await asyncio.sleep(1.0)
        store.faults = StoreFaults()
        await asyncio.sleep(3.0)
        assert told == [1]
        await contact.stop()

    loop.run_until_complete(scenario())
    assert "store's return not reported" in {line["event"] for line in logged}


def test_a_decision_is_saved_after_writes_that_failed_unexpectedly(
    loop, store, monkeypatch
):
    async def scenario():
        service = QuarantineService(
            QuarantineSettings(),
            "a",
            PeerNetwork().join("a"),
            store,
            lambda: ["a"],
            lambda: [],
            loop.time,
        )
        await service.start()
        with monkeypatch.context() as patch:
            patch.setattr(store, "put", fail)
            service._publish([cleared("f-1", loop.time(), 600.0)])
            await asyncio.sleep(3.0)
        await asyncio.sleep(5.0)
        blocklist, _ = await read_blocklist(store)
        assert blocklist.get("f-1") is not None
        await service.stop()

    loop.run_until_complete(scenario())


def test_a_lease_is_renewed_in_time_after_renewals_that_failed_unexpectedly(
    loop, store, monkeypatch
):
    lease_s = 9.0

    async def scenario():
        entry = LeasedEntry(store, lease_s, "hosts/a", b"x")
        await entry.start()
        await asyncio.sleep(0.1)
        with monkeypatch.context() as patch:
            patch.setattr(store, "renew_lease", fail)
            await asyncio.sleep(0.71 * lease_s)
        for _ in range(100):
            await asyncio.sleep(0.1)
            assert await store.get("hosts/a") is not None
        await entry.stop()

    loop.run_until_complete(scenario())


def test_a_grant_that_cannot_be_synced_is_refused_at_once(
    loop, store, tmp_path, monkeypatch, logged
):
    cfg = RelaySettings(
        name="records-1",
        data_centre="dc-1",
        listen=RelayListen(peers="127.0.0.1:1", metrics="127.0.0.1:2"),
        store=StoreSettings(url="http://127.0.0.1:3"),
        data_centres=("dc-1",),
        first_start=True,
    )

    async def list_hosts():
        return {"records-1"}

    def no_memory(totals, ttl_s):
        raise MemoryError

    async def scenario():
        service = EscrowService(
            cfg, tmp_path, store, PeerNetwork().join("records-1"), list_hosts, loop.time
        )
        await service.start()
        await asyncio.sleep(1.0)
        monkeypatch.setattr(service._disk, "save_grants", no_memory)
        async with asyncio.timeout(1.0):
            reply = await service._on_request("relay", EscrowRequest("p", 800, 100))
        assert reply == (True, 0)
        await service.stop()

    loop.run_until_complete(scenario())
    assert "escrow not written" in {line["event"] for line in logged}
