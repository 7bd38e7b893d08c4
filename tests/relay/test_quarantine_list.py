"""The list of decisions in the store."""

import asyncio

from magnoliaroad.quarantine import QuarantineService
from magnoliaroad.quarantine.entry import cleared
from magnoliaroad.quarantine.stored_list import LIST_KEY, RETRY_S, read_blocklist
from magnoliaroad.relay.settings import RELAY_QUARANTINE
from magnoliaroad.standins.kv_state import KvState
from magnoliaroad.standins.local_store import LocalStore
from tests.fakes import PeerNetwork
from tests.fakes.wire import Wire


def test_a_host_outlives_a_stored_list_that_cannot_be_decoded(loop):
    async def run():
        store = LocalStore(KvState(), loop.time)
        quarantine = QuarantineService(
            RELAY_QUARANTINE,
            "a",
            PeerNetwork(Wire(1)).join("a"),
            store,
            lambda: ["a"],
            list,
            loop.time,
        )
        await quarantine.start()
        damaged = store.state.put(LIST_KEY, b"\xc1")
        quarantine._publish([cleared("P", 1.0, 100.0)])
        await asyncio.sleep(10.0)
        assert not quarantine.crashed
        assert store.state.get(LIST_KEY).revision == damaged
        store.state.delete(LIST_KEY)
        await asyncio.sleep(RETRY_S + 0.1)
        blocklist, _ = await read_blocklist(store)
        assert [entry.fingerprint for entry in blocklist.all()] == ["P"]
        await quarantine.stop()

    loop.run_until_complete(run())
