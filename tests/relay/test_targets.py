"""The table of targets, its follower and the choice of a target."""

import asyncio
import math

import pytest

from magnoliaroad.relay.entry_decoder import BadEntry, EntryDecoder
from magnoliaroad.relay.mirror import MirrorListener, PrefixMirror
from magnoliaroad.relay.placement import choose_by_session, choose_least_loaded
from magnoliaroad.relay.settings import FollowSettings
from magnoliaroad.relay.target import RelayTarget, TargetState
from magnoliaroad.relay.target_follower import TargetFollower
from magnoliaroad.relay.target_table import TargetCooldown, TargetTable
from magnoliaroad.standins.faults import StoreFaults
from magnoliaroad.standins.kv_state import KvState
from magnoliaroad.standins.local_store import LocalStore
from magnoliaroad.store import StoreEntry, WatchBatch

GRACE_S = FollowSettings().lapse_grace_s


class StandinEntryDecoder(EntryDecoder):
    operator_prefix = "op/"
    target_prefix = "targets/"
    retirement_prefix = "op/retire/"

    def read_plan(self, key, value):
        return None

    def read_target(self, key, value):
        if value == b"spoiled":
            raise BadEntry(f"{key}: spoiled")
        state = TargetState(value.decode())
        name = key.removeprefix(self.target_prefix)
        return RelayTarget(name, "lm", "10.0.0.1:80", "dc-1", 8, state)

    def read_retirement(self, key):
        return None


class Clock:
    def __init__(self):
        self.now = 0.0

    def __call__(self):
        return self.now


@pytest.fixture
def clock():
    return Clock()


@pytest.fixture
def table():
    return TargetTable()


@pytest.fixture
def follower(table, clock):
    return TargetFollower(StandinEntryDecoder(), table, 1.9, clock)


def entries(revision=1, **states):
    return {
        f"targets/{name}": StoreEntry(f"targets/{name}", state.encode(), revision)
        for name, state in states.items()
    }


def usable(table, now=0.0):
    return sorted(target.name for target in table.usable("lm", now))


def test_a_removed_target_is_dropped_at_once(follower, table):
    follower.on_snapshot(entries(a="ready", b="ready"), 1, after_loss=False)
    follower.on_batch(WatchBatch((), ("targets/a",), 2))
    assert usable(table) == ["b"]


def test_a_draining_target_gets_no_new_work(follower, table):
    follower.on_snapshot(entries(a="ready", b="ready"), 1, after_loss=False)
    follower.on_batch(WatchBatch(tuple(entries(2, a="draining").values()), (), 2))
    assert usable(table) == ["b"]


def test_an_entry_that_expired_with_the_store_has_a_grace_period(
    follower, table, clock
):
    follower.on_snapshot(entries(a="ready", b="ready"), 1, after_loss=False)
    clock.now = 10.0
    follower.on_snapshot(entries(3, b="ready"), 3, after_loss=True)
    clock.now = 11.0
    follower.sweep()
    assert usable(table) == ["a", "b"]
    follower.on_batch(WatchBatch(tuple(entries(4, a="ready").values()), (), 4))
    clock.now = 20.0
    follower.sweep()
    assert usable(table) == ["a", "b"]


def test_a_target_is_dropped_after_its_grace_period(follower, table, clock):
    follower.on_snapshot(entries(a="ready", b="ready"), 1, after_loss=False)
    clock.now = 10.0
    follower.on_snapshot(entries(3, b="ready"), 3, after_loss=True)
    clock.now = 12.0
    follower.sweep()
    assert usable(table) == ["b"]


def test_peers_drop_an_entry_that_did_not_return(follower, table, clock):
    follower.on_snapshot(entries(a="ready", b="ready"), 1, after_loss=False)
    other_table = TargetTable()
    other = TargetFollower(StandinEntryDecoder(), other_table, 1.9, clock)
    other.merge_entries(*follower.export_entries())
    clock.now = 10.0
    follower.on_snapshot(entries(3, b="ready"), 6, after_loss=True)
    other.merge_entries(*follower.export_entries())
    assert usable(other_table) == ["a", "b"]
    clock.now = 12.0
    follower.sweep()
    other.merge_entries(*follower.export_entries())
    assert usable(other_table) == ["b"]


@pytest.fixture
def after_store_loss(follower, clock):
    """A follower that has listed all entries after the store was unavailable."""
    follower.on_snapshot(entries(a="ready", b="ready"), 1, after_loss=False)
    clock.now = 10.0
    follower.on_snapshot(entries(a="ready", b="ready"), 3, after_loss=True)
    return follower


def test_peers_take_over_the_grace_period_of_an_entry(after_store_loss, clock):
    """Peers must drop a target when the host does whose grace period they merged.

    Found by Sokol trouble-1 --seed 756709199705, where an entry was removed 1.5 s after
    the store was back.
    """
    other_table = TargetTable()
    other = TargetFollower(StandinEntryDecoder(), other_table, 1.9, clock)
    other.merge_entries(*after_store_loss.export_entries())
    clock.now = 11.5
    after_store_loss.on_batch(WatchBatch((), ("targets/a",), 5))
    clock.now = 11.7
    other.merge_entries(*after_store_loss.export_entries())
    assert usable(other_table) == ["a", "b"]
    clock.now = 11.95
    after_store_loss.sweep()
    other.sweep()
    assert usable(other_table) == ["b"]


def test_a_grace_period_at_a_peer_restores_no_removed_target(after_store_loss, clock):
    other_table = TargetTable()
    other = TargetFollower(StandinEntryDecoder(), other_table, 1.9, clock)
    other.on_snapshot(entries(a="ready", b="ready"), 3, after_loss=False)
    other.on_batch(WatchBatch((), ("targets/a",), 4))
    after_store_loss.on_batch(WatchBatch((), ("targets/a",), 4))
    after_store_loss.on_batch(WatchBatch(tuple(entries(6, c="ready").values()), (), 6))
    other.merge_entries(*after_store_loss.export_entries())
    assert usable(other_table) == ["b", "c"]


def test_peers_drop_what_a_new_list_lacks(follower, clock):
    follower.on_snapshot(entries(a="ready", b="ready"), 1, after_loss=False)
    other_table = TargetTable()
    other = TargetFollower(StandinEntryDecoder(), other_table, 1.9, clock)
    other.merge_entries(*follower.export_entries())
    follower.on_snapshot(entries(b="ready"), 4, after_loss=False)
    other.merge_entries(*follower.export_entries())
    assert usable(other_table) == ["b"]


def test_an_entry_that_cannot_be_decoded_yields_no_target(follower, table):
    follower.on_snapshot(entries(a="ready", b="spoiled"), 1, after_loss=False)
    assert usable(table) == ["a"]
    follower.on_batch(WatchBatch(tuple(entries(2, a="spoiled").values()), (), 2))
    assert usable(table) == []


def test_entries_of_a_peer_with_a_newer_revision_are_merged(follower, table):
    follower.on_snapshot(entries(1, a="ready", b="ready"), 1, after_loss=False)
    received = list(entries(5, b="draining", c="ready").values())
    follower.merge_entries(5, received, {})
    assert usable(table) == ["c"]


def test_entries_of_a_peer_with_an_older_revision_are_ignored(follower, table):
    follower.on_snapshot(entries(7, a="ready", b="ready"), 1, after_loss=False)
    follower.merge_entries(5, list(entries(5, b="draining").values()), {})
    assert usable(table) == ["a", "b"]


def test_an_old_entry_does_not_undo_a_later_one(follower, table):
    follower.on_snapshot(entries(7, a="draining"), 7, after_loss=False)
    follower.on_batch(WatchBatch(tuple(entries(5, a="ready").values()), (), 7))
    assert usable(table) == []


def add_targets(table, *names, slots=8):
    for name in names:
        table.set(
            RelayTarget(name, "lm", "10.0.0.1:80", "dc-1", slots, TargetState.READY)
        )
    return table.usable("lm", 0.0)


def test_a_session_stays_at_its_target(table):
    targets = add_targets(table, "a", "b", "c")
    first = choose_by_session(table, targets, "session-1", "dc-1")
    for _ in range(3):
        table.record_start(first.name)
    assert choose_by_session(table, targets, "session-1", "dc-1") == first


def test_a_session_leaves_an_overloaded_target(table):
    targets = add_targets(table, "a", "b", "c")
    first = choose_by_session(table, targets, "session-1", "dc-1")
    for _ in range(40):
        table.record_start(first.name)
    assert choose_by_session(table, targets, "session-1", "dc-1") != first


def test_requests_of_other_hosts_count_as_load(table):
    targets = add_targets(table, "a", "b", "c")
    first = choose_by_session(table, targets, "session-1", "dc-1")
    table.set_remote_in_flight("other", {first.name: 40})
    assert choose_by_session(table, targets, "session-1", "dc-1") != first
    table.retain_hosts([])
    assert choose_by_session(table, targets, "session-1", "dc-1") == first


def test_the_least_loaded_target_gets_a_plain_call(table):
    targets = add_targets(table, "a", "b", "c")
    table.record_start("a")
    table.record_start("b")
    assert choose_least_loaded(table, targets, "dc-1", "request").name == "c"


def test_a_host_keeps_to_one_target_while_that_has_spare_slots(table):
    targets = add_targets(table, "a", "b", "c", slots=6)
    preferred = choose_least_loaded(table, targets, "dc-1", "r", "host-1")
    for other in {"a", "b", "c"} - {preferred.name}:
        table.set_remote_in_flight("peer", {preferred.name: 2, other: 0})
        assert choose_least_loaded(table, targets, "dc-1", "r", "host-1") == preferred
    table.set_remote_in_flight("peer", {preferred.name: 3})
    assert choose_least_loaded(table, targets, "dc-1", "r", "host-1") != preferred


def test_hosts_keep_to_different_targets(table):
    targets = add_targets(table, "a", "b", "c")
    chosen = [
        choose_least_loaded(table, targets, "dc-1", "r", f"host-{n}").name
        for n in range(60)
    ]
    assert all(chosen.count(name) > 10 for name in "abc")


def test_plain_calls_stay_in_their_data_centre_while_it_has_spare_slots(table):
    targets = add_spread_targets(table)
    assert (
        choose_least_loaded(table, targets, "dc-2", "r", "host-1").data_centre == "dc-2"
    )
    for target in targets:
        if target.data_centre == "dc-2":
            table.in_flight[target.name] = 7
    assert (
        choose_least_loaded(table, targets, "dc-2", "r", "host-1").data_centre != "dc-2"
    )


def test_the_cooldown_doubles_with_each_failure(table):
    add_targets(table, "a", "b")
    assert table.record_failure("a", 0.0, 0.25, 4.0) == 0.25
    assert usable(table, 0.1) == ["b"]
    assert usable(table, 0.3) == ["a", "b"]
    assert table.record_failure("a", 1.0, 0.25, 4.0) == 0.5
    table.record_success("a")
    assert usable(table, 1.0) == ["a", "b"]


def test_a_target_that_never_answers_stays_in_its_longest_cooldown(table):
    """Guards against requests that fail as the count of failures grows too large."""
    add_targets(table, "a")
    for _ in range(2_000):
        cooldown_s = table.record_failure("a", 0.0, 0.5, 4.0)
    assert cooldown_s == 4.0


def test_a_target_in_cooldown_is_used_if_there_is_no_other(table):
    add_targets(table, "a")
    table.record_failure("a", 0.0, 0.25, 4.0)
    assert usable(table, 0.1) == ["a"]


def test_a_version_is_kept_to_though_its_targets_are_worse(table):
    """Guards against a resumed stream that leaves its version (ORDER)."""
    for target in add_targets(table, "a", "b", "c"):
        table.set(target._replace(version="v1" if target.name == "a" else "v2"))
    table.record_failure("a", 0.0, 0.5, 4.0)
    assert [t.name for t in table.usable("lm", 0.1, version="v1")] == ["a"]
    assert [t.name for t in table.usable("lm", 0.1, {"b"}, "v2")] == ["c"]
    assert table.usable("lm", 0.1, {"a"}, "v1") == []
    assert table.usable("lm", 0.1, version="v3") == []


def test_a_target_that_becomes_slow_gets_no_new_work_for_a_while(table):
    add_targets(table, "a", "b", "c")
    for step in range(20):
        for name in "abc":
            table.record_event_gap(
                name, 0.08 if name == "b" and step > 5 else 0.02, step * 0.05
            )
    assert usable(table, 1.0) == ["a", "c"]
    assert usable(table, 4.0) == ["a", "b", "c"]


def test_targets_that_are_all_slow_are_all_used(table):
    add_targets(table, "a", "b", "c")
    for name in "abc":
        table.record_event_gap(name, 0.5, 0.0)
    assert usable(table, 0.1) == ["a", "b", "c"]


def test_the_pace_of_a_single_target_is_ignored(table):
    add_targets(table, "a", "b")
    table.record_event_gap("a", 5.0, 0.0)
    assert usable(table, 0.1) == ["a", "b"]


def add_spread_targets(table):
    for number in range(12):
        place = f"dc-{number % 3 + 1}"
        name = f"t-{number}"
        table.set(RelayTarget(name, "lm", "x", place, 8, TargetState.READY))
    return table.usable("lm", 0.0)


def test_sessions_stay_in_their_data_centre(table):
    targets = add_spread_targets(table)
    for number in range(50):
        target = choose_by_session(table, targets, f"session-{number}", "dc-2")
        assert target.data_centre == "dc-2"


def test_sessions_leave_a_data_centre_whose_targets_are_overloaded(table):
    targets = add_spread_targets(table)
    for target in targets:
        if target.data_centre == "dc-2":
            table.in_flight[target.name] = 30
    target = choose_by_session(table, targets, "session-1", "dc-2")
    assert target.data_centre != "dc-2"


def test_sessions_of_a_data_centre_without_targets_go_elsewhere(table):
    assert (
        choose_by_session(table, add_spread_targets(table), "session-1", "dc-9")
        is not None
    )


def test_a_cooldown_at_a_peer_applies_here(table):
    add_targets(table, "a", "b")
    peer = TargetTable()
    add_targets(peer, "a", "b")
    for now in (0.0, 0.6):
        peer.record_failure("a", now, 0.5, 4.0)
    table.merge_cooldowns(0.7, peer.cooldowns(0.7))
    assert usable(table, 1.5) == ["b"]
    assert usable(table, 1.7) == ["a", "b"]
    assert table.record_failure("a", 1.7, 0.5, 4.0) == 2.0


def test_cooldowns_of_peers_are_not_passed_on(table):
    add_targets(table, "a", "b")
    table.merge_cooldowns(
        0.0, {"a": TargetCooldown(1, 0.5), "gone": TargetCooldown(1, 0.5)}
    )
    assert table.cooldowns(0.1) == {}


def test_an_answer_ends_the_cooldown(table):
    add_targets(table, "a", "b")
    table.record_failure("a", 0.0, 0.5, 4.0)
    table.record_success("a")
    assert table.cooldowns(0.1) == {}
    assert usable(table, 0.1) == ["a", "b"]


def test_if_all_targets_are_in_cooldown_all_are_used(table):
    add_targets(table, "a", "b")
    table.merge_cooldowns(
        0.0, {"a": TargetCooldown(1, 0.5), "b": TargetCooldown(1, 0.5)}
    )
    assert usable(table, 0.1) == ["a", "b"]


@pytest.mark.parametrize("slots", [8, 12, 16, 64])
@pytest.mark.parametrize("filled_fraction", [0.3, 0.6, 0.85])
def test_no_turn_waits_for_a_slot_while_another_target_has_one(slots, filled_fraction):
    """Sessions placed by hash alone fill one engine while others have free slots.

    The case is a large fleet of engines with 8 slots and all turns in progress.
    """
    table = TargetTable()
    targets = add_targets(table, *(f"t-{n}" for n in range(30)), slots=slots)
    for number in range(int(30 * slots * filled_fraction)):
        target = choose_by_session(table, targets, f"session-{number}", "dc-1")
        assert table.load(target.name) < slots
        table.record_start(target.name)


@pytest.mark.parametrize("slots", [8, 64])
def test_most_sessions_stay_on_the_target_that_caches_their_history(slots):
    table = TargetTable()
    targets = add_targets(table, *(f"t-{n}" for n in range(30)), slots=slots)
    alone = {
        n: choose_by_session(table, targets, f"s-{n}", "dc-1").name for n in range(400)
    }
    stayed = 0
    for number in range(int(30 * slots * 0.3)):
        target = choose_by_session(table, targets, f"s-{number % 400}", "dc-1")
        table.record_start(target.name)
        stayed += target.name == alone[number % 400]
    assert stayed >= 0.7 * int(30 * slots * 0.3)


class StoreLoss:
    """The time at which the store was last out of reach."""

    def __init__(self):
        self.at = -math.inf

    def __call__(self):
        return self.at


class MirroredFollower:
    """A follower with a mirror that watches the store only while it is told to."""

    def __init__(self, loop):
        self.loop, self.state, self.lost = loop, KvState(), StoreLoss()
        self.store = LocalStore(self.state, loop.time)
        self.table = TargetTable()
        self.follower = TargetFollower(
            StandinEntryDecoder(), self.table, GRACE_S, loop.time, self.lost
        )
        self.following = asyncio.Event()
        self.mirror = PrefixMirror(
            self.store,
            "targets/",
            FollowSettings(),
            self.follower,
            self.following,
            lambda: True,
        )
        for entry in entries(a="ready", b="ready").values():
            self.state.put(entry.key, entry.value)

    async def __aenter__(self):
        await self.mirror.start()
        self.following.set()
        await asyncio.sleep(1.0)
        return self

    async def __aexit__(self, *exc_info):
        await self.mirror.stop()

    async def sweep_for(self, duration_s):
        for _ in range(round(duration_s / 0.1)):
            await asyncio.sleep(0.1)
            self.follower.sweep()

    def usable(self):
        return usable(self.table, self.loop.time())


# A value at which the decoder of these tests fails unexpectedly.
ODD = b"odd"


def test_an_entry_that_fails_unexpectedly_holds_up_no_other_change(loop, logged):
    """Guards against lists of targets that stand still for one entry (FAULT)."""

    async def scenario():
        async with MirroredFollower(loop) as host:
            host.state.put("targets/a", ODD)
            host.state.put("targets/c", b"ready")
            await asyncio.sleep(0.5)
            assert host.usable() == ["a", "b", "c"]
            host.state.delete("targets/b")
            await asyncio.sleep(0.5)
            assert host.usable() == ["a", "c"]
            assert host.follower.revision == host.state.revision
            assert not host.mirror.crashed

    loop.run_until_complete(scenario())
    failed = [line for line in logged if line["event"] == "entries not applied"]
    assert len(failed) == 1
    assert "targets/a" in failed[0]["keys"]


class OddListener(MirrorListener):
    """A listener that fails at one key, each time."""

    def __init__(self):
        self.seen = []

    def on_snapshot(self, entries, revision, after_loss):
        for entry in entries.values():
            self._take(entry)

    def on_batch(self, batch):
        for entry in batch.changed:
            self._take(entry)

    def _take(self, entry):
        if entry.key == "targets/a":
            raise LookupError("unexpected")
        self.seen.append(entry.key)


def test_a_listener_that_fails_at_one_key_gets_all_others(loop, logged):
    async def scenario():
        host = MirroredFollower(loop)
        host.mirror._listener = listener = OddListener()
        async with host:
            assert "targets/b" in listener.seen
            for value in (b"1", b"2"):
                host.state.put("targets/a", value)
                host.state.put("targets/c", value)
                await asyncio.sleep(0.5)
            host.state.put("targets/d", b"3")
            await asyncio.sleep(0.5)
        # Once with the whole batch, if it came before the other, and once by itself.
        assert 2 <= listener.seen.count("targets/c") <= 4
        assert listener.seen.count("targets/d") == 1

    loop.run_until_complete(scenario())
    failed = [line for line in logged if line["event"] == "entries not applied"]
    assert len(failed) <= 8


def test_an_entry_that_fails_unexpectedly_holds_up_no_list(loop, logged):
    async def scenario():
        async with MirroredFollower(loop) as host:
            host.following.clear()
            await asyncio.sleep(FollowSettings().watch_s)
            host.state.put("targets/a", ODD)
            host.state.put("targets/c", b"ready")
            host.state.delete("targets/b")
            host.following.set()
            await asyncio.sleep(0.5)
            assert host.usable() == ["a", "c"]

    loop.run_until_complete(scenario())
    assert "entries not applied" in {line["event"] for line in logged}


def test_a_target_that_cannot_be_reported_as_lost_is_dropped(loop, logged):
    async def scenario():
        async with MirroredFollower(loop) as host:
            host.follower.on_target_lost = lambda target: {}["missing"]
            host.state.delete("targets/a")
            await asyncio.sleep(0.5)
            assert host.usable() == ["b"]

    loop.run_until_complete(scenario())
    assert "lost target not reported" in {line["event"] for line in logged}


@pytest.mark.parametrize("unwatched_s", [0.02, 0.55, 0.8, 3.0, 60.0])
def test_an_entry_removed_while_another_host_watched_is_gone_at_once(loop, unwatched_s):
    """Guards against work for a target whose watchers were killed (DRAIN)."""

    async def scenario():
        async with MirroredFollower(loop) as host:
            host.following.clear()
            await asyncio.sleep(FollowSettings().watch_s)
            host.state.delete("targets/a")
            await asyncio.sleep(unwatched_s)
            host.following.set()
            await asyncio.sleep(0.1)
            assert host.usable() == ["b"]
            assert host.follower.revision == host.state.revision

    loop.run_until_complete(scenario())


def test_an_entry_that_lapsed_before_a_host_watches_has_its_grace_period(loop):
    async def scenario():
        async with MirroredFollower(loop) as host:
            host.following.clear()
            await asyncio.sleep(FollowSettings().watch_s)
            host.state.delete("targets/a")
            host.lost.at = loop.time()
            await asyncio.sleep(0.5)
            host.following.set()
            await host.sweep_for(GRACE_S - 0.8)
            assert host.usable() == ["a", "b"]
            await host.sweep_for(0.5)
            assert host.usable() == ["b"]

    loop.run_until_complete(scenario())


def test_an_entry_that_lapsed_while_this_host_watched_has_a_grace_period(loop):
    async def scenario():
        async with MirroredFollower(loop) as host:
            host.store.faults = StoreFaults(down=True)
            await asyncio.sleep(5.0)
            host.state.delete("targets/a")
            host.store.faults = StoreFaults()
            await host.sweep_for(1.2)
            assert host.usable() == ["a", "b"]
            await host.sweep_for(GRACE_S)
            assert host.usable() == ["b"]

    loop.run_until_complete(scenario())
