"""Detection of a lost store, which is checked after a call on it has failed."""

import asyncio

import pytest

from magnoliaroad.standins.faults import StoreFaults
from magnoliaroad.standins.kv_state import KvState
from magnoliaroad.standins.local_store import LocalStore
from magnoliaroad.store import StorePut, StoreUnavailable
from magnoliaroad.store.contact import RETRY_LIMIT_S, StoreContact
from magnoliaroad.store.observed import ObservedStore


def scenario(loop, body):
    async def run():
        inner = LocalStore(KvState(), loop.time)
        store = ObservedStore(inner)
        contact = StoreContact(store, "hosts/a", loop.time)
        store.on_failure = contact.request_probe
        await contact.start()
        try:
            await body(inner, store, contact)
        finally:
            await contact.stop()

    loop.run_until_complete(run())


def test_a_store_in_contact_is_not_checked(loop):
    async def body(inner, store, contact):
        calls = []
        inner.get = calls.append
        await store.list("hosts/")
        await asyncio.sleep(60.0)
        assert calls == []
        assert contact.up_s == 60.0

    scenario(loop, body)


def test_one_lost_answer_does_not_mark_the_store_lost(loop):
    async def body(inner, store, contact):
        inner.faults = StoreFaults(down=True)
        call = asyncio.create_task(store.list("hosts/"))
        await asyncio.sleep(0.0)
        inner.faults = StoreFaults()
        with pytest.raises(StoreUnavailable):
            await call
        await asyncio.sleep(1.0)
        assert not contact.lost

    scenario(loop, body)


def test_an_unreachable_store_is_lost_until_it_answers(loop):
    async def body(inner, store, contact):
        regained = []
        contact.on_regained.append(lambda: regained.append(loop.time()))
        inner.faults = StoreFaults(down=True)
        with pytest.raises(StoreUnavailable):
            await store.list("hosts/")
        await asyncio.sleep(1.5)
        assert contact.lost
        assert contact.up_s == 0.0
        await asyncio.sleep(5.0)
        inner.faults = StoreFaults()
        back = loop.time()
        await asyncio.sleep(2.0)
        assert not contact.lost
        assert len(regained) == 1
        assert regained[0] - back <= RETRY_LIMIT_S + 0.5
        assert contact.connected_since == regained[0]

    scenario(loop, body)


def test_a_cancelled_call_makes_the_store_be_checked(loop):
    """Grown Sokol trouble-1: a silent store went undetected for five seconds.

    Callers cancelled their calls before these could fail.
    """

    async def body(inner, store, contact):
        inner.faults = StoreFaults(delay_s=30.0)
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(0.3):
                await store.put_many([StorePut("p", b"")])
        await asyncio.sleep(0.6)
        assert contact.lost

    scenario(loop, body)


def test_a_check_that_succeeds_changes_nothing(loop):
    async def body(inner, store, contact):
        began = contact.connected_since
        contact.request_probe()
        await asyncio.sleep(1.0)
        assert not contact.lost
        assert contact.connected_since == began

    scenario(loop, body)
