"""Claims of many programs, written in few calls by few hosts."""

import asyncio
from contextlib import nullcontext as nothing

import pytest

from magnoliaroad.records.held import HeldValues
from magnoliaroad.relay.claim_desk import REST_S, SPARE_S, ClaimDesk
from magnoliaroad.relay.claim_messages import ClaimAsk
from magnoliaroad.relay.claim_writer import MOST_CLAIMS, MOST_KNOWN, PREFIX, ClaimWriter
from magnoliaroad.relay.settings import TurnSettings
from magnoliaroad.standins.faults import StoreFaults
from magnoliaroad.standins.kv_state import KvState
from magnoliaroad.standins.local_store import LocalStore
from magnoliaroad.store import Store, StoreConflict, StoreError
from magnoliaroad.store.leases import LeasePool
from tests.fakes.peers import PeerNetwork

CFG = TurnSettings()
# Slowest answer of the platform's store on a usual day.
ANSWER_S = 0.004


class CountedStore(LocalStore):
    """Counts the calls that write."""

    def __init__(self, *args):
        super().__init__(*args)
        self.writes = []
        self.faults = StoreFaults(delay_s=ANSWER_S)

    async def put_many(self, puts):
        self.writes.append([put.key for put in puts])
        return await super().put_many(puts)


class Host:
    def __init__(self, fleet, name):
        self.store = CountedStore(fleet.state, fleet.loop.time)
        leases = LeasePool(self.store, fleet.loop.time)
        self.peers = fleet.network.join(name)
        self.writer = ClaimWriter(self.store, leases, CFG)
        self.desk = ClaimDesk(
            name, self.writer, self.peers, lambda: fleet.writers, fleet.loop.time
        )

    async def claim(self, program, value=b"new", expected=0):
        return await self.desk.write(ClaimAsk(program, value, expected))


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
    """Replays the new programs of the grown league days: 52 a second on 53 hosts."""

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
        assert max(waits) <= CFG.claim_gap_s + 3 * ANSWER_S
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


def test_a_burst_waits_for_one_pause_only(loop):
    async def scenario():
        host = Fleet(loop).hosts["a"]
        programs = [f"p{n}" for n in range(3 * MOST_CLAIMS)]
        await asyncio.gather(*map(host.claim, programs))
        sizes = [len(batch) for batch in host.store.writes]
        assert sizes == [1, MOST_CLAIMS, MOST_CLAIMS, MOST_CLAIMS - 1]
        assert loop.time() <= CFG.claim_gap_s + 2 * ANSWER_S

    loop.run_until_complete(scenario())


def test_a_conflict_touches_its_own_program_only(loop):
    async def scenario():
        fleet = Fleet(loop)
        host = fleet.hosts["b"]
        await host.claim("old", b"first")
        await asyncio.sleep(1.0)
        fleet.hosts["a"].writer._known = HeldValues(MOST_KNOWN, lambda _: 1)
        claims = [host.claim(program) for program in ("p", "old", "q")]
        told = await asyncio.gather(*claims, return_exceptions=True)
        assert isinstance(told[1], StoreConflict)
        assert told[1].current.value == b"first"
        assert told[::2] == [fleet.state.get(PREFIX + p).revision for p in "pq"]
        assert fleet.value("old") == b"first"

    loop.run_until_complete(scenario())


class OneByOneStore(CountedStore):
    """A service whose calls write one entry each."""

    async def put_many(self, puts):
        self.writes.append([put.key for put in puts])
        return await Store.put_many(self, puts)


def test_a_conflict_ends_at_a_service_that_writes_one_by_one(loop):
    async def scenario():
        fleet = Fleet(loop, "a")
        host = fleet.hosts["a"]
        host.store = OneByOneStore(fleet.state, loop.time)
        host.writer = ClaimWriter(host.store, LeasePool(host.store, loop.time), CFG)
        host.desk._own = host.writer
        fleet.state.put(PREFIX + "p", b"first")
        with pytest.raises(StoreConflict) as caught:
            await asyncio.wait_for(host.claim("p"), 1.0)
        assert caught.value.current.value == b"first"
        assert len(host.store.writes) == 1

    loop.run_until_complete(scenario())


def test_of_claims_of_one_program_one_is_written(loop):
    """Grown Tiltbox quiet-1: lines of a program began in two data centres at once."""

    async def scenario():
        fleet = Fleet(loop)
        await fleet.hosts["a"].claim("warm")
        values = {name: name.encode() for name in "abc"}
        claims = [fleet.hosts[name].claim("p", values[name]) for name in "abc"]
        told = await asyncio.gather(*claims, return_exceptions=True)
        written = [v for v, t in zip(values.values(), told, strict=True) if t in (2, 3)]
        assert written == [fleet.value("p")]
        assert sum(isinstance(t, StoreConflict) for t in told) == 2
        assert all(t.current.value == written[0] for t in told if t not in (2, 3))

    loop.run_until_complete(scenario())


def test_a_known_conflict_costs_no_call(loop):
    """A line of turns that comes through another data centre."""

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


def test_what_is_known_does_not_stand_in_the_way_of_the_store(loop):
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


def test_a_record_that_has_ended_is_a_conflict_without_one(loop):
    async def scenario():
        host = Fleet(loop).hosts["b"]
        with pytest.raises(StoreConflict) as caught:
            await host.claim("gone", expected=7)
        assert caught.value.current is None

    loop.run_until_complete(scenario())


@pytest.mark.parametrize("fault", ["crash", "store down", "answers lost"])
def test_claims_are_written_though_their_host_fails(loop, fault):
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
        # If the host has written it and could not tell, it is found.
        found = pytest.raises(StoreConflict) if fault == "answers lost" else nothing()
        with found:
            await fleet.hosts["b"].claim("p")
        assert fleet.value("p") == b"new"
        assert loop.time() - began <= CFG.claim_gap_s + SPARE_S + 4 * ANSWER_S
        began = loop.time()
        await fleet.hosts["b"].claim("q")
        assert loop.time() - began < REST_S / 10

    loop.run_until_complete(scenario())


def test_a_claim_fails_when_nobody_reaches_the_store(loop):
    async def scenario():
        fleet = Fleet(loop)
        for host in fleet.hosts.values():
            host.store.faults = StoreFaults(down=True)
        with pytest.raises(StoreError):
            await fleet.hosts["b"].claim("p")
        assert fleet.value("p") is None

    loop.run_until_complete(scenario())


def test_claims_that_wait_fail_when_the_host_stops(loop):
    async def scenario():
        host = Fleet(loop, "a").hosts["a"]
        await host.writer.start()
        await host.claim("warm")
        waiting = asyncio.create_task(host.claim("p"))
        await asyncio.sleep(0.0)
        await host.writer.stop()
        with pytest.raises(StoreError):
            await waiting

    loop.run_until_complete(scenario())
