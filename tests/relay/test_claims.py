"""Claims of many programs, written in batches by a few hosts."""

import asyncio
from contextlib import nullcontext

import pytest

from magnoliaroad.records.lru_cache import LruCache
from magnoliaroad.relay.claim_messages import ClaimWriteRequest
from magnoliaroad.relay.claim_router import (
    WRITE_MARGIN_S,
    WRITER_COOLDOWN_S,
    ClaimRouter,
)
from magnoliaroad.relay.claim_writer import (
    MAX_CACHED_RECORDS,
    MAX_CLAIMS_PER_CALL,
    PREFIX,
    ClaimWriter,
)
from magnoliaroad.relay.settings import TurnSettings
from magnoliaroad.standins.faults import StoreFaults
from magnoliaroad.standins.kv_state import MAX_VALUE_BYTES, KvState
from magnoliaroad.standins.local_store import LocalStore
from magnoliaroad.store import Store, StoreConflict, StoreError
from magnoliaroad.store.leases import LeasePool
from tests.fakes.peers import PeerNetwork

CFG = TurnSettings()
# Slowest reply of the platform's store on a usual day, in seconds.
REPLY_S = 0.004


class RecordingStore(LocalStore):
    """A store that records the keys of each call that writes."""

    def __init__(self, *args):
        super().__init__(*args)
        self.writes = []
        self.faults = StoreFaults(delay_s=REPLY_S)

    async def put_many(self, puts):
        self.writes.append([put.key for put in puts])
        return await super().put_many(puts)


class Host:
    def __init__(self, fleet, name):
        self.store = RecordingStore(fleet.state, fleet.loop.time)
        leases = LeasePool(self.store, fleet.loop.time)
        self.peers = fleet.network.join(name)
        self.writer = ClaimWriter(self.store, leases, CFG)
        self.router = ClaimRouter(
            name, self.writer, self.peers, lambda: fleet.writers, fleet.loop.time
        )

    async def claim(self, program, value=b"new", expected=0):
        return await self.router.write(ClaimWriteRequest(program, value, expected))


class Fleet:
    def __init__(self, loop, names="abc"):
        self.loop = loop
        self.state = KvState()
        self.network = PeerNetwork()
        self.writers = ["a"]
        self.hosts = {name: Host(self, name) for name in names}

    def value(self, program):
        entry = self.state.get(PREFIX + program)
        return None if entry is None else entry.value


def test_programs_of_a_large_deployment_share_calls(loop):
    """Replays 52 new programs a second on 53 hosts, as on the grown league days."""

    async def scenario():
        names = [f"h{n}" for n in range(53)]
        fleet = Fleet(loop, names)
        fleet.writers = names[:1]
        waits = []

        async def start(n):
            began = loop.time()
            await fleet.hosts[names[n % 53]].claim(f"p{n}")
            waits.append(loop.time() - began)

        tasks = []
        for n in range(520):
            tasks.append(asyncio.create_task(start(n)))
            await asyncio.sleep(1 / 52)
        await asyncio.gather(*tasks)
        writes = [w for host in fleet.hosts.values() for w in host.store.writes]
        assert len(writes) <= 520 / 3
        assert sum(map(len, writes)) == 520
        assert max(waits) <= CFG.claim_gap_s + 3 * REPLY_S
        assert all(fleet.value(f"p{n}") for n in range(520))

    loop.run_until_complete(scenario())


def test_a_single_program_does_not_wait(loop):
    async def scenario():
        fleet = Fleet(loop)
        await fleet.hosts["a"].claim("warm")
        await asyncio.sleep(1.0)
        began = loop.time()
        await fleet.hosts["b"].claim("p")
        assert loop.time() - began < CFG.claim_gap_s / 2

    loop.run_until_complete(scenario())


def test_a_burst_waits_for_one_batch_interval_only(loop):
    async def scenario():
        host = Fleet(loop).hosts["a"]
        programs = [f"p{n}" for n in range(3 * MAX_CLAIMS_PER_CALL)]
        await asyncio.gather(*map(host.claim, programs))
        sizes = [len(batch) for batch in host.store.writes]
        assert sizes == [
            1,
            MAX_CLAIMS_PER_CALL,
            MAX_CLAIMS_PER_CALL,
            MAX_CLAIMS_PER_CALL - 1,
        ]
        assert loop.time() <= CFG.claim_gap_s + 2 * REPLY_S

    loop.run_until_complete(scenario())


def test_a_conflict_fails_its_own_program_only(loop):
    async def scenario():
        fleet = Fleet(loop)
        host = fleet.hosts["b"]
        await host.claim("old", b"first")
        await asyncio.sleep(1.0)
        fleet.hosts["a"].writer._cache = LruCache(MAX_CACHED_RECORDS, lambda _: 1)
        claims = [host.claim(program) for program in ("p", "old", "q")]
        results = await asyncio.gather(*claims, return_exceptions=True)
        assert isinstance(results[1], StoreConflict)
        assert results[1].current.value == b"first"
        assert results[::2] == [fleet.state.get(PREFIX + p).revision for p in "pq"]
        assert fleet.value("old") == b"first"

    loop.run_until_complete(scenario())


class OneByOneStore(RecordingStore):
    """A store that writes one entry in each call."""

    async def put_many(self, puts):
        self.writes.append([put.key for put in puts])
        return await Store.put_many(self, puts)


def test_a_conflict_is_final_at_a_store_that_writes_one_by_one(loop):
    async def scenario():
        fleet = Fleet(loop, "a")
        host = fleet.hosts["a"]
        host.store = OneByOneStore(fleet.state, loop.time)
        host.writer = ClaimWriter(host.store, LeasePool(host.store, loop.time), CFG)
        host.router._own = host.writer
        fleet.state.put(PREFIX + "p", b"first")
        with pytest.raises(StoreConflict) as caught:
            await asyncio.wait_for(host.claim("p"), 1.0)
        assert caught.value.current.value == b"first"
        assert len(host.store.writes) == 1

    loop.run_until_complete(scenario())


def test_one_of_several_claims_of_a_program_is_written(loop):
    """Guards against concurrent claims that overwrite each other.

    In Grown Tiltbox quiet-1, turns of one program started in two data centres at once.
    """

    async def scenario():
        fleet = Fleet(loop)
        await fleet.hosts["a"].claim("warm")
        values = {name: name.encode() for name in "abc"}
        claims = [fleet.hosts[name].claim("p", values[name]) for name in "abc"]
        results = await asyncio.gather(*claims, return_exceptions=True)
        written = [
            v for v, r in zip(values.values(), results, strict=True) if r in (2, 3)
        ]
        assert written == [fleet.value("p")]
        assert sum(isinstance(r, StoreConflict) for r in results) == 2
        assert all(r.current.value == written[0] for r in results if r not in (2, 3))

    loop.run_until_complete(scenario())


def test_a_known_conflict_costs_no_call(loop):
    """Turns of a program may come through another data centre than the first ones."""

    async def scenario():
        fleet = Fleet(loop)
        revision = await fleet.hosts["b"].claim("p", b"first")
        with pytest.raises(StoreConflict) as caught:
            await fleet.hosts["c"].claim("p", b"other")
        assert caught.value.current.value == b"first"
        await fleet.hosts["c"].claim("p", b"second", revision)
        assert fleet.value("p") == b"second"
        assert sum(len(host.store.writes) for host in fleet.hosts.values()) == 2

    loop.run_until_complete(scenario())


def test_a_stale_cached_record_does_not_block_a_claim(loop):
    async def scenario():
        fleet = Fleet(loop)
        host = fleet.hosts["b"]
        revision = await host.claim("p", b"first")
        fleet.state.delete(PREFIX + "p")
        with pytest.raises(StoreConflict) as caught:
            await host.claim("p", b"second", revision)
        assert caught.value.current is None
        await host.claim("p", b"third")
        fleet.state.put(PREFIX + "p", b"by another host")
        with pytest.raises(StoreConflict) as caught:
            await host.claim("p", b"fourth", fleet.state.revision - 1)
        assert caught.value.current.value == b"by another host"
        await host.claim("p", b"fifth", caught.value.current.revision)
        assert fleet.value("p") == b"fifth"

    loop.run_until_complete(scenario())


def test_an_expired_record_is_a_conflict_without_a_current_record(loop):
    async def scenario():
        host = Fleet(loop).hosts["b"]
        with pytest.raises(StoreConflict) as caught:
            await host.claim("gone", expected=7)
        assert caught.value.current is None

    loop.run_until_complete(scenario())


@pytest.mark.parametrize("fault", ["crash", "store down", "answers lost"])
def test_claims_are_written_although_the_writer_host_fails(loop, fault):
    async def scenario():
        fleet = Fleet(loop)
        await fleet.hosts["b"].claim("warm")
        if fault == "crash":
            fleet.network.crash("a")
        else:
            down = fault == "store down"
            fleet.hosts["a"].store.faults = StoreFaults(
                down=down, lose_answers=not down
            )
        began = loop.time()
        # A claim that the writer host wrote without a reply conflicts with the retry.
        expectation = (
            pytest.raises(StoreConflict) if fault == "answers lost" else nullcontext()
        )
        with expectation:
            await fleet.hosts["b"].claim("p")
        assert fleet.value("p") == b"new"
        assert loop.time() - began <= CFG.claim_gap_s + WRITE_MARGIN_S + 4 * REPLY_S
        began = loop.time()
        await fleet.hosts["b"].claim("q")
        assert loop.time() - began < WRITER_COOLDOWN_S / 10

    loop.run_until_complete(scenario())


def test_a_claim_fails_when_no_host_reaches_the_store(loop):
    async def scenario():
        fleet = Fleet(loop)
        for host in fleet.hosts.values():
            host.store.faults = StoreFaults(down=True)
        with pytest.raises(StoreError):
            await fleet.hosts["b"].claim("p")
        assert fleet.value("p") is None

    loop.run_until_complete(scenario())


def test_pending_claims_fail_when_the_host_stops(loop):
    async def scenario():
        host = Fleet(loop, "a").hosts["a"]
        await host.writer.start()
        await host.claim("warm")
        pending = asyncio.create_task(host.claim("p"))
        await asyncio.sleep(0.0)
        await host.writer.stop()
        with pytest.raises(StoreError):
            await pending

    loop.run_until_complete(scenario())


def test_a_claim_that_the_store_refuses_fails_no_other(loop):
    async def scenario():
        fleet = Fleet(loop)
        host = fleet.hosts["a"]
        await host.claim("warm")
        too_large = b"x" * (MAX_VALUE_BYTES + 1)
        claims = [host.claim("large", too_large), *(host.claim(f"p{n}") for n in "12")]
        results = await asyncio.gather(*claims, return_exceptions=True)
        assert isinstance(results[0], StoreError)
        assert fleet.value("p1") == fleet.value("p2") == b"new"

    loop.run_until_complete(scenario())


def test_a_long_program_id_makes_no_key_that_the_store_refuses(loop):
    async def scenario():
        fleet = Fleet(loop)
        revision = await fleet.hosts["a"].claim("p" * 300)
        (entry,) = fleet.state.list(PREFIX).changed
        assert (entry.value, entry.revision) == (b"new", revision)
        with pytest.raises(StoreConflict):
            await fleet.hosts["b"].claim("p" * 300, b"other")

    loop.run_until_complete(scenario())


class FailingStore(RecordingStore):
    """A store whose client fails at the entry of one program."""

    failing = PREFIX + "odd"

    async def put_many(self, puts):
        if any(put.key == self.failing for put in puts):
            raise TypeError("unexpected")
        return await super().put_many(puts)


class ShortStore(RecordingStore):
    """A store whose answer has a revision too few."""

    async def put_many(self, puts):
        return (await super().put_many(puts))[1:]


async def claim_both(loop, store):
    """Claims a program that fails and another in one call; returns the outcomes."""
    fleet = Fleet(loop, "a")
    writer = ClaimWriter(
        store(fleet.state, loop.time),
        LeasePool(LocalStore(fleet.state, loop.time), loop.time),
        CFG,
    )
    await writer.start()
    first = asyncio.create_task(writer.write(ClaimWriteRequest("warm", b"new", 0)))
    claims = [
        asyncio.create_task(writer.write(ClaimWriteRequest(name, b"new", 0)))
        for name in ("odd", "p")
    ]
    async with asyncio.timeout(10.0):
        await asyncio.wait([first, *claims])
    assert not writer.crashed
    await writer.stop()
    return [claim.exception() for claim in claims]


def test_a_claim_that_fails_unexpectedly_fails_no_other_and_no_host(loop, logged):
    """Guards against hosts that end for one claim (FAULT)."""
    odd, sound = loop.run_until_complete(claim_both(loop, FailingStore))
    assert isinstance(odd, StoreError)
    assert sound is None
    assert "claims failed" in {line["event"] for line in logged}


def test_an_answer_with_too_few_revisions_fails_claims_and_no_host(loop):
    outcomes = loop.run_until_complete(claim_both(loop, ShortStore))
    assert all(isinstance(exc, StoreError) for exc in outcomes)
