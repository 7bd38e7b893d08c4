"""Contact with the store, as calls that fail make it be asked for."""

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
        store.on_failure = contact.doubt
        await contact.start()
        try:
            await body(inner, store, contact)
        finally:
            await contact.stop()

    loop.run_until_complete(run())


def test_a_host_in_contact_asks_nothing(loop):
    async def body(inner, store, contact):
        calls = []
        inner.get = calls.append
        await store.list("hosts/")
        await asyncio.sleep(60.0)
        assert calls == []
        assert contact.up_s == 60.0

    scenario(loop, body)


def test_one_lost_answer_is_not_a_lost_store(loop):
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


def test_a_store_that_stays_away_is_lost_until_it_answers(loop):
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
        assert contact.since == regained[0]

    scenario(loop, body)


def test_a_call_that_its_caller_gives_up_is_a_reason_to_ask(loop):
    """Grown Sokol trouble-1: a silent store went unnoticed for five seconds."""

    async def body(inner, store, contact):
        inner.faults = StoreFaults(delay_s=30.0)
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(0.3):
                await store.put_many([StorePut("p", b"")])
        await asyncio.sleep(0.6)
        assert contact.lost

    scenario(loop, body)


def test_a_doubt_without_cause_changes_nothing(loop):
    async def body(inner, store, contact):
        began = contact.since
        contact.doubt()
        await asyncio.sleep(1.0)
        assert not contact.lost
        assert contact.since == began

    scenario(loop, body)
