"""A host's entry in the store, while the store is out of reach and after."""

import asyncio

from magnoliaroad.relay.announcer import Announcer
from magnoliaroad.relay.host_entry import PREFIX, HostEntry
from magnoliaroad.relay.leased_entry import RENEWAL_JITTER_S, RETRY_S
from magnoliaroad.relay.settings import FleetSettings
from magnoliaroad.standins.faults import StoreFaults
from magnoliaroad.standins.kv_state import KvState
from magnoliaroad.standins.local_store import LocalStore

CFG = FleetSettings()


def test_a_renewal_requested_while_another_fails_is_not_lost(loop):
    async def run():
        state = KvState()
        store = LocalStore(state, loop.time)
        entry = HostEntry("dc-1", "127.0.0.1", 1, relays=False)
        announcer = Announcer(store, CFG, "a", entry)
        await announcer.start()
        await asyncio.sleep(1.0)
        assert state.get(PREFIX + "a") is not None
        store.faults = StoreFaults(down=True)
        await asyncio.sleep(CFG.lease_s / 3 - 1.0 + RETRY_S / 2)
        state.expire(loop.time() + 1000.0)
        assert state.get(PREFIX + "a") is None
        store.faults = StoreFaults()
        announcer.renew_soon()
        await asyncio.sleep(RETRY_S + RENEWAL_JITTER_S + 0.1)
        there = state.get(PREFIX + "a") is not None
        await announcer.stop()
        assert there

    loop.run_until_complete(run())
