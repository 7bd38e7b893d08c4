"""Budgets of programs over several hosts with network and store faults."""

import asyncio
import random

import pytest

from magnoliaroad.peers import PeerError
from magnoliaroad.refusal import Refused
from magnoliaroad.relay.budget import BudgetRecord, claim_size, unpack_budget
from magnoliaroad.relay.budget_ledger import BudgetLedger
from magnoliaroad.relay.budget_router import BudgetRouter
from magnoliaroad.relay.claim_router import ClaimRouter
from magnoliaroad.relay.claim_writer import PREFIX, ClaimWriter
from magnoliaroad.relay.escrow_client import EscrowClient
from magnoliaroad.relay.fleet_messages import BudgetLoanRequest
from magnoliaroad.relay.refusals import BUDGET_SPENT, BUDGET_UNCERTAIN
from magnoliaroad.relay.settings import RelayListen, RelaySettings, TurnSettings
from magnoliaroad.standins.faults import StoreFaults
from magnoliaroad.standins.kv_state import KvState
from magnoliaroad.standins.local_store import LocalStore
from magnoliaroad.store.leases import LeasePool
from magnoliaroad.store.settings import StoreSettings
from tests.fakes.peers import PeerNetwork

# Without data centres the store has the whole budget.
RELAY_CFG = RelaySettings(
    name="host",
    data_centre="dc-1",
    listen=RelayListen(peers="127.0.0.1:1", metrics="127.0.0.1:2"),
    store=StoreSettings(url="http://127.0.0.1:3"),
)
NO_RECORD_HOSTS = None
LIMIT = 4000
TURN_TOKENS = 500
# Tokens of a small turn.
USED_TOKENS = 100


class Host:
    """One host's budget classes on the network and store that all hosts share."""

    def __init__(self, fleet, name, boot=1):
        self.name = name
        self.holder = f"{name}#{boot}"
        self.store = LocalStore(fleet.state, fleet.loop.time)
        self.peers = fleet.network.join(name)
        self.fleet = fleet
        cfg = TurnSettings()
        self.leases = LeasePool(self.store, fleet.loop.time)
        writer = ClaimWriter(self.store, self.leases, cfg)
        self.ledger = BudgetLedger(
            ClaimRouter(name, writer, self.peers, fleet.writers, fleet.loop.time),
            EscrowClient(RELAY_CFG, NO_RECORD_HOSTS, self.peers, set),
            cfg,
            self.holder,
            self.borrow_from,
            fleet.holders,
            now=fleet.loop.time,
        )
        self.router = BudgetRouter(name, self.ledger, self.peers, lambda: fleet.alive)

    async def borrow_from(self, holder, program):
        if holder not in self.fleet.holders():
            return None
        try:
            name = holder.partition("#")[0]
            return await self.peers.call(name, BudgetLoanRequest(program), 0.3)
        except PeerError:
            return None


class Fleet:
    def __init__(self, loop, names=("a", "b", "c")):
        self.loop = loop
        self.state = KvState()
        self.network = PeerNetwork()
        self.hosts = {}
        self.alive = []
        for name in names:
            self.start(name)

    def start(self, name, boot=1):
        self.hosts[name] = Host(self, name, boot)
        if name not in self.alive:
            self.alive.append(name)

    def crash(self, name):
        self.network.crash(name)
        self.alive.remove(name)
        del self.hosts[name]

    def writers(self):
        return self.alive[:1]

    def holders(self, program=""):
        return [host.holder for host in self.hosts.values()]

    def record(self, program="p"):
        entry = self.state.get(PREFIX + program)
        return None if entry is None else unpack_budget(entry.value)


async def spend(fleet, name, used, program="p"):
    """Runs a turn on host ``name`` that spends ``used`` tokens; returns ``used``."""
    reservation = await fleet.hosts[name].router.reserve(program, LIMIT, TURN_TOKENS)
    reservation.settle(used)
    # Callers send the next turn after they have seen the end of this one.
    await asyncio.sleep(0.01)
    return used


def test_a_claim_takes_half_of_the_free_tokens_but_at_least_the_needed_ones():
    assert claim_size(BudgetRecord(1000, {}), 100) == 500
    assert claim_size(BudgetRecord(1000, {"a": 600}), 300) == 300
    assert claim_size(BudgetRecord(1000, {"a": 950}), 40) == 40


def test_turns_on_all_hosts_can_spend_the_whole_budget(loop):
    async def scenario():
        fleet = Fleet(loop)
        spent = 0
        for turn in range(8):
            spent += await spend(fleet, "abc"[turn % 3], TURN_TOKENS)
        assert spent == LIMIT
        for name in "abc":
            with pytest.raises(Refused) as caught:
                await spend(fleet, name, TURN_TOKENS)
            assert caught.value.refusal is BUDGET_SPENT

    loop.run_until_complete(scenario())


def test_unused_tokens_of_a_turn_are_available_to_later_ones(loop):
    async def scenario():
        fleet = Fleet(loop)
        turns = 0
        while True:
            try:
                await spend(fleet, "abc"[turns % 3], 100)
            except Refused:
                break
            turns += 1
        assert turns == (LIMIT - TURN_TOKENS) // 100 + 1

    loop.run_until_complete(scenario())


def test_hosts_that_disagree_on_the_home_host_stay_within_the_budget(loop):
    async def scenario():
        fleet = Fleet(loop)
        for name, host in fleet.hosts.items():
            host.router._hosts = lambda name=name: [name]
        spent, refusals = 0, set()
        for turn in range(100):
            try:
                spent += await spend(fleet, "abc"[turn % 3], TURN_TOKENS)
            except Refused as exc:
                refusals.add(exc.refusal)
        assert spent == LIMIT
        assert refusals == {BUDGET_SPENT}

    loop.run_until_complete(scenario())


def test_a_killed_host_leaves_the_rest_of_the_budget_to_others(loop):
    async def scenario():
        fleet = Fleet(loop)
        await spend(fleet, "a", 200)
        home = next(iter(fleet.record().claims)).partition("#")[0]
        fleet.crash(home)
        survivor = next(iter(fleet.hosts))
        spent = 200
        refusal = None
        for _ in range(40):
            try:
                spent += await spend(fleet, survivor, 200)
            except Refused as exc:
                refusal = exc.refusal
        assert refusal is BUDGET_UNCERTAIN
        assert LIMIT / 2 - TURN_TOKENS <= spent <= LIMIT

    loop.run_until_complete(scenario())


def test_a_restarted_host_does_not_count_its_old_claim_as_its_own(loop):
    async def scenario():
        fleet = Fleet(loop, names=("a",))
        spent, refusals = 0, set()
        boot = 1
        for _ in range(30):
            try:
                spent += await spend(fleet, "a", TURN_TOKENS)
            except Refused as exc:
                refusals.add(exc.refusal)
            fleet.crash("a")
            boot += 1
            fleet.start("a", boot)
        assert 0 < spent <= LIMIT
        assert refusals == {BUDGET_UNCERTAIN}

    loop.run_until_complete(scenario())


def test_a_claim_whose_reply_is_lost_is_written_once(loop):
    async def scenario():
        fleet = Fleet(loop, names=("a",))
        host = fleet.hosts["a"]
        await host.leases.get(TurnSettings().budget_retention_s)
        host.store.faults = StoreFaults(lose_answers=True)
        loop.call_later(0.2, lambda: setattr(host.store, "faults", StoreFaults()))
        await spend(fleet, "a", TURN_TOKENS)
        assert fleet.record().claims == {host.holder: LIMIT // 2}

    loop.run_until_complete(scenario())


def test_a_turn_is_refused_at_once_while_the_store_is_known_to_be_away(loop):
    async def scenario():
        fleet = Fleet(loop, names=("a",))
        host = fleet.hosts["a"]
        unavailable = [True]
        host.ledger._store_unavailable = lambda: unavailable[0]
        began = loop.time()
        with pytest.raises(Refused) as caught:
            await spend(fleet, "a", TURN_TOKENS, "q")
        assert caught.value.refusal is BUDGET_UNCERTAIN
        assert loop.time() - began <= 0.01
        assert fleet.record("q") is None
        unavailable[0] = False
        assert await spend(fleet, "a", TURN_TOKENS, "q") == TURN_TOKENS

    loop.run_until_complete(scenario())


def test_a_claim_without_a_reply_is_tried_again_in_time(loop):
    """Guards against refusing a turn because one reply of the store was lost.

    Seen in incident inc-0bb2 at Sokol.
    """

    async def scenario():
        fleet = Fleet(loop, names=("a",))
        host = fleet.hosts["a"]
        host.store.faults = StoreFaults(delay_s=5.0)
        loop.call_later(0.2, lambda: setattr(host.store, "faults", StoreFaults()))
        assert await spend(fleet, "a", TURN_TOKENS) == TURN_TOKENS

    loop.run_until_complete(scenario())


def test_without_the_store_claimed_tokens_serve_and_new_programs_are_refused(loop):
    async def scenario():
        fleet = Fleet(loop, names=("a",))
        await spend(fleet, "a", TURN_TOKENS)
        fleet.hosts["a"].store.faults = StoreFaults(down=True)
        assert await spend(fleet, "a", TURN_TOKENS) == TURN_TOKENS
        began = loop.time()
        with pytest.raises(Refused) as caught:
            await spend(fleet, "a", TURN_TOKENS, program="new")
        assert caught.value.refusal is BUDGET_UNCERTAIN
        assert loop.time() - began <= TurnSettings().claim_s + 0.2

    loop.run_until_complete(scenario())


def test_tokens_that_arrive_after_the_time_limit_are_not_lost(loop):
    """Guards against a dead lender that costs the tokens of the others (LOST)."""

    async def scenario():
        fleet = Fleet(loop)
        reservations = [
            await fleet.hosts[name].ledger.reserve("p", LIMIT, LIMIT // 4)
            for name in ("b", "c")
        ]
        for share in reservations:
            share.settle(loop.time(), LIMIT // 4, 0)
        ledger = fleet.hosts["a"].ledger
        ask = ledger._borrow_from

        async def ask_slowly(holder, program):
            reply = await ask(holder, program)
            if holder == "b#1":
                await asyncio.sleep(2 * ledger.cfg.claim_s)
                return None
            return reply

        ledger._borrow_from = ask_slowly
        free = fleet.record().free
        with pytest.raises(Refused) as caught:
            await ledger.reserve("p", LIMIT, free + 1)
        assert caught.value.refusal is BUDGET_UNCERTAIN
        await asyncio.sleep(3 * ledger.cfg.claim_s)
        lent = fleet.record().claims["c#1"]
        share = await ledger.reserve("p", LIMIT, free + lent)
        assert share.available == 0

    loop.run_until_complete(scenario())


@pytest.mark.parametrize("seed", range(20))
def test_no_sequence_of_faults_overspends_the_budget(loop, seed):
    rng = random.Random(seed)

    async def scenario():
        fleet = Fleet(loop)
        fleet.network.wire.seed = seed
        spent, running, boots = 0, [], 1
        for _ in range(200):
            action = rng.random()
            if action < 0.6 and fleet.hosts:
                name = rng.choice(sorted(fleet.hosts))
                try:
                    turn = await fleet.hosts[name].router.reserve(
                        "p", LIMIT, TURN_TOKENS
                    )
                except Refused:
                    continue
                running.append(turn)
            elif action < 0.85 and running:
                used = rng.randrange(TURN_TOKENS + 1)
                running.pop(rng.randrange(len(running))).settle(used)
                spent += used
            elif action < 0.9 and len(fleet.hosts) > 1:
                fleet.crash(rng.choice(sorted(fleet.hosts)))
                # Turns with reservations at the lost host may have spent them all.
                spent += TURN_TOKENS * len(running)
                running.clear()
            elif action < 0.95 and len(fleet.hosts) < 3:
                boots += 1
                missing = sorted({"a", "b", "c"} - fleet.hosts.keys())
                fleet.start(missing[0], boots)
            else:
                faults = StoreFaults(lose_answers=rng.random() < 0.5)
                for host in fleet.hosts.values():
                    host.store.faults = faults
        assert spent <= LIMIT

    loop.run_until_complete(scenario())


async def spend_until_refused(fleet, name, pause_s, turns=100):
    """Runs turns in the share of host ``name``; returns the tokens that they spent."""
    spent = 0
    for _ in range(turns):
        try:
            share = await fleet.hosts[name].ledger.reserve("p", LIMIT, TURN_TOKENS)
        except Refused as exc:
            if exc.refusal is not BUDGET_SPENT:
                raise
            break
        share.settle(fleet.loop.time(), TURN_TOKENS, TURN_TOKENS)
        spent += TURN_TOKENS
        await asyncio.sleep(pause_s)
    return spent


@pytest.mark.parametrize("pause_s", [3.0, 57.0])
@pytest.mark.parametrize("turns", [1, 4])
def test_a_host_does_not_spend_its_claim_again_after_a_pause(loop, turns, pause_s):
    """Guards against a program that returns after its state was removed (BUDGET)."""

    async def scenario():
        fleet = Fleet(loop)
        spent = await spend_until_refused(fleet, "a", 0.1, turns)
        # Together longer than a host keeps the state of an idle program.
        spent += await spend_until_refused(fleet, "b", 75.0, 3)
        spent += await spend_until_refused(fleet, "c", 75.0)
        await asyncio.sleep(pause_s)
        for name in "abcabc":
            spent += await spend_until_refused(fleet, name, 75.0)
        assert spent == LIMIT

    loop.run_until_complete(scenario())


def test_a_host_spends_the_rest_of_its_claim_after_a_pause(loop):
    async def scenario():
        fleet = Fleet(loop, names=("a",))
        spent = 0
        for _ in range(LIMIT // TURN_TOKENS):
            spent += await spend_until_refused(fleet, "a", 0.1, 1)
            # Other programs make the host remove this one, whose record lives on.
            fleet.hosts["a"].ledger._remove_idle(loop.time() + 1000.0)
        assert spent == LIMIT
        assert await spend_until_refused(fleet, "a", 0.1) == 0

    loop.run_until_complete(scenario())


@pytest.mark.parametrize("pause_s", [5.0, 55.0, 80.0])
def test_a_record_does_not_expire_while_its_program_runs(loop, pause_s):
    """Guards against a budget that is claimed anew beside an older claim (BUDGET)."""

    async def scenario():
        fleet = Fleet(loop)
        # A claim of half the budget lasts for these turns.
        spent, turns = 0, LIMIT // 2 // USED_TOKENS
        for _ in range(turns):
            share = await fleet.hosts["a"].ledger.reserve("p", LIMIT, USED_TOKENS)
            share.settle(loop.time(), USED_TOKENS, USED_TOKENS)
            spent += USED_TOKENS
            await asyncio.sleep(pause_s)
        assert spent == LIMIT // 2
        spent += await spend_until_refused(fleet, "b", 0.1)
        assert spent == LIMIT

    loop.run_until_complete(scenario())


def test_a_host_that_returns_to_its_claim_renews_the_record(loop):
    """The claim of another host may be the newest, and nearly expired."""

    async def scenario():
        fleet = Fleet(loop)
        await spend_until_refused(fleet, "a", 0.1, 1)
        await spend_until_refused(fleet, "b", 0.1, 1)
        fleet.hosts["a"].ledger._remove_idle(loop.time() + 1000.0)
        revision = fleet.state.revision
        await spend_until_refused(fleet, "a", 0.1, 1)
        assert fleet.state.revision == revision
        await spend_until_refused(fleet, "a", 0.1, 1)
        assert fleet.state.revision == revision + 1

    loop.run_until_complete(scenario())
