"""Answers of the store that would be asked for again and again at once (FAULT)."""

import asyncio

import pytest

from magnoliaroad.quarantine.entry import cleared
from magnoliaroad.quarantine.stored_list import save_entries
from magnoliaroad.relay.announcer import Announcer
from magnoliaroad.relay.host_entry import PREFIX, HostEntry
from magnoliaroad.relay.mirror import MirrorListener, PrefixMirror
from magnoliaroad.relay.settings import FleetSettings, FollowSettings
from magnoliaroad.standins.kv_state import KvState
from magnoliaroad.standins.local_store import LocalStore
from magnoliaroad.store import LeaseLost, StoreConflict, StoreError, WatchBatch

FAULTY_S = 10.0
# Every 0.05 s: with the shortest of the pauses, 0.1 s, and its jitter.
MOST_CALLS = FAULTY_S / 0.05


class FaultyStore(LocalStore):
    """Counts calls; ``fault`` names the answer that is given to every call.

    With ``"empty"`` watches end at once without a change, with ``"unknown lease"`` and
    ``"conflict"`` writes fail so.
    """

    def __init__(self, loop):
        self.state = KvState()
        self.state.put("other", b"")
        super().__init__(self.state, loop.time)
        self.fault = ""
        self.calls = 0

    async def _count(self):
        self.calls += 1
        # A loop without a delay would not end in virtual time.
        await asyncio.sleep(0.001 if self.calls < 2 * MOST_CALLS else 2 * FAULTY_S)

    async def watch(self, prefix, after, limit_s=None):
        await self._count()
        if self.fault == "empty":
            return WatchBatch((), (), after)
        return await super().watch(prefix, after, limit_s)

    async def put(self, key, value, expected=None, lease=None):
        await self._count()
        if self.fault == "unknown lease":
            raise LeaseLost("none")
        if self.fault == "conflict":
            raise StoreConflict(key, None)
        return await super().put(key, value, expected, lease)


class AgedStore(LocalStore):
    """Answers ``aged`` listings with the state at the time of its creation."""

    def __init__(self, loop):
        self.state = KvState()
        self.state.put("t/a", b"")
        self.first = self.state.list("t/")
        super().__init__(self.state, loop.time)
        self.aged = 0
        self.listed = []

    async def list(self, prefix):
        self.listed.append(prefix)
        if self.aged:
            self.aged -= 1
            return self.first
        return await super().list(prefix)


class Recorder(MirrorListener):
    """Keeps what a mirror has read."""

    def __init__(self):
        self.entries = {}
        self.snapshots = []

    def on_snapshot(self, entries, revision, after_loss):
        self.snapshots.append(set(entries))
        self.entries = dict(entries)

    def on_batch(self, batch):
        self.entries |= {entry.key: entry for entry in batch.changed}


@pytest.fixture
def store(loop):
    return FaultyStore(loop)


def test_watches_that_end_at_once_are_not_repeated_at_once(loop, store):
    async def run():
        following, recorder = asyncio.Event(), Recorder()
        following.set()
        mirror = PrefixMirror(
            store, "t/", FollowSettings(), recorder, following, lambda: True
        )
        store.fault = "empty"
        await mirror.start()
        await asyncio.sleep(FAULTY_S)
        assert 0 < store.calls < MOST_CALLS
        store.fault = ""
        store.state.put("t/a", b"")
        await asyncio.sleep(2.0)
        assert list(recorder.entries) == ["t/a"]
        await mirror.stop()

    loop.run_until_complete(run())


def test_an_entry_whose_lease_is_unknown_is_not_written_again_at_once(loop, store):
    async def run():
        entry = HostEntry("dc-1", "127.0.0.1", 1, relays=False)
        announcer = Announcer(store, FleetSettings(), "a", entry)
        store.fault = "unknown lease"
        await announcer.start()
        await asyncio.sleep(FAULTY_S)
        assert 0 < store.calls < MOST_CALLS
        store.fault = ""
        await asyncio.sleep(2.0)
        assert store.state.get(PREFIX + "a") is not None
        await announcer.stop()

    loop.run_until_complete(run())


def test_a_list_that_always_conflicts_is_not_saved_again_without_end(loop, store):
    async def run():
        store.fault = "conflict"
        entries = [cleared("P", 1.0, 100.0)]
        async with asyncio.timeout(FAULTY_S):
            with pytest.raises(StoreError):
                await save_entries(store, entries, 2.0)
        assert 1 < store.calls < MOST_CALLS
        store.fault = ""
        await save_entries(store, entries, 2.0)

    loop.run_until_complete(run())


@pytest.mark.parametrize(("aged", "seen"), [(1, {"t/a", "t/b"}), (1000, {"t/a"})])
def test_a_listing_of_an_older_state_is_used_only_if_it_comes_again(loop, aged, seen):
    """One alone is a bad answer; a store that was restored gives more of them."""

    async def run():
        store, recorder, following = AgedStore(loop), Recorder(), asyncio.Event()
        store.state.put("t/b", b"")
        following.set()
        mirror = PrefixMirror(
            store, "t/", FollowSettings(), recorder, following, lambda: True
        )
        await mirror.start()
        await asyncio.sleep(1.0)
        assert recorder.entries.keys() == {"t/a", "t/b"}
        recorder.snapshots.clear()
        store.aged = aged
        store.listed.clear()
        following.clear()
        await asyncio.sleep(FollowSettings().watch_s + 0.1)
        following.set()
        await asyncio.sleep(1.0)
        assert recorder.snapshots == [seen]
        assert len(store.listed) == 2
        await mirror.stop()

    loop.run_until_complete(run())
