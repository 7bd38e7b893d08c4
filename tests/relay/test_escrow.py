"""Budgets without the store: parts granted by a record host of each data centre."""

import asyncio
import random

import pytest

from magnoliaroad.peers import PeerError
from magnoliaroad.records.client import RecordClient
from magnoliaroad.records.messages import RecordHostHeartbeat
from magnoliaroad.records.settings import RecordSettings
from magnoliaroad.refusal import Refused
from magnoliaroad.relay.budget_ledger import BudgetLedger
from magnoliaroad.relay.budget_parts import divide_budget
from magnoliaroad.relay.budget_router import BudgetRouter
from magnoliaroad.relay.claim_router import ClaimRouter
from magnoliaroad.relay.claim_writer import ClaimWriter
from magnoliaroad.relay.escrow_client import EscrowClient
from magnoliaroad.relay.escrow_disk import EscrowDisk
from magnoliaroad.relay.escrow_ledger import EscrowLedger
from magnoliaroad.relay.escrow_messages import EscrowRequest
from magnoliaroad.relay.escrow_role import (
    CONFIRMATION_LIFETIME_S,
    TAKEOVER_WAIT_S,
    EscrowHolder,
    EscrowRole,
)
from magnoliaroad.relay.escrow_service import EscrowService
from magnoliaroad.relay.fleet_messages import BudgetLoanRequest
from magnoliaroad.relay.refusals import BUDGET_SPENT
from magnoliaroad.relay.settings import RelayListen, RelaySettings, TurnSettings
from magnoliaroad.standins.faults import StoreFaults
from magnoliaroad.standins.kv_state import KvState
from magnoliaroad.standins.local_store import LocalStore
from magnoliaroad.store.leases import LeasePool
from magnoliaroad.store.settings import StoreSettings
from tests.fakes.peers import PeerNetwork

DATA_CENTRES = ("dc-1", "dc-2", "dc-3")
TURN_TOKENS = 100
# Budget of a program of eight turns of which each is granted the most it may generate.
LIMIT = 800
# Tokens of a usual turn.
USUAL_TOKENS = 25


def make_settings(name, data_centre, first_start=True):
    return RelaySettings(
        name=name,
        data_centre=data_centre,
        listen=RelayListen(peers="127.0.0.1:1", metrics="127.0.0.1:2"),
        store=StoreSettings(url="http://127.0.0.1:3"),
        data_centres=DATA_CENTRES,
        first_start=first_start,
    )


class Relay:
    """Budget classes of one relay host."""

    def __init__(self, fleet, name, data_centre, boot):
        self.fleet, self.name, self.data_centre = fleet, name, data_centre
        self.holder = f"{name}#{boot}"
        self.store = LocalStore(fleet.state, fleet.loop.time)
        self.store.faults = fleet.faults_of(data_centre)
        self.peers = fleet.network.join(name, data_centre)
        leases = LeasePool(self.store, fleet.loop.time)
        self.records = RecordClient(
            RecordSettings(),
            data_centre,
            self.store,
            leases,
            self.peers,
            fleet.refresh,
            now=fleet.loop.time,
        )
        cfg = make_settings(name, data_centre)
        writer = ClaimWriter(self.store, leases, cfg.turns)
        now = fleet.loop.time
        self.ledger = BudgetLedger(
            ClaimRouter(name, writer, self.peers, lambda: [name], now),
            EscrowClient(cfg, self.records, self.peers, self.data_centres),
            cfg.turns,
            self.holder,
            self.lend,
            lambda program: [r.holder for r in fleet.reached_by(self)],
            store_unavailable=lambda: self.store.faults.down,
            now=now,
        )
        self.router = BudgetRouter(name, self.ledger, self.peers, self.home_hosts)

    def data_centres(self):
        return {r.data_centre for r in (self, *self.fleet.reached_by(self))}

    def home_hosts(self):
        return [
            r.name
            for r in (self, *self.fleet.reached_by(self))
            if r.data_centre == self.data_centre
        ]

    async def lend(self, holder, program):
        name = holder.partition("#")[0]
        relay = self.fleet.relays.get(name)
        if relay is None or relay.holder != holder:
            return None
        try:
            return await self.peers.call(name, BudgetLoanRequest(program), 0.1)
        except PeerError:
            return None


class Fleet:
    """Two relay hosts and a record host in each of three data centres."""

    def __init__(self, loop, folder):
        self.loop, self.folder = loop, folder
        self.state, self.network = KvState(), PeerNetwork()
        self.relays, self.escrows, self.disks = {}, {}, {}
        self.store_down = False
        self.isolated = None
        self.boot = 0

    def faults_of(self, data_centre):
        return StoreFaults(down=self.store_down or self.isolated == data_centre)

    async def start(self, first_start=True):
        for data_centre in DATA_CENTRES:
            await self.start_escrow(data_centre, first_start)
        for data_centre in DATA_CENTRES:
            for number in (1, 2):
                self.start_relay(f"{data_centre}-host-{number}", data_centre)
        await asyncio.sleep(0.1)

    def start_relay(self, name, data_centre):
        self.boot += 1
        self.relays[name] = Relay(self, name, data_centre, self.boot)

    async def start_escrow(self, data_centre, first_start=False):
        name = f"{data_centre}-records"
        self.boot += 1
        store = LocalStore(self.state, self.loop.time)
        store.faults = self.faults_of(data_centre)
        disk = self.disks.setdefault(data_centre, self.boot)
        service = EscrowService(
            make_settings(name, data_centre, first_start),
            self.folder / f"{name}-{disk}",
            store,
            self.network.join(name, data_centre),
            self.list_hosts,
            self.loop.time,
        )
        service.store = store
        await service.start()
        self.escrows[data_centre] = service
        # The relay hosts know all hosts again.
        for relay in self.relays.values():
            relay.peers.known = [p.me for p in self.network.hosts.values()]

    async def list_hosts(self):
        return {f"{data_centre}-records" for data_centre in self.escrows}

    async def refresh(self):
        return None

    async def stop(self):
        for service in self.escrows.values():
            await service.stop()

    def reached_by(self, relay):
        return [
            other
            for other in self.relays.values()
            if other is not relay
            and (
                other.data_centre == relay.data_centre
                or self.isolated not in (other.data_centre, relay.data_centre)
            )
        ]

    def apply_faults(self):
        self.network.wire.heal()
        names = list(self.network.hosts)
        if self.isolated:
            inside = [n for n in names if n.startswith(self.isolated)]
            outside = [n for n in names if not n.startswith(self.isolated)]
            self.network.wire.cut(inside, outside)
        for part in (*self.relays.values(), *self.escrows.values()):
            part_centre = getattr(part, "data_centre", None) or part._cfg.data_centre
            part.store.faults = self.faults_of(part_centre)

    def heartbeats(self):
        for data_centre in self.escrows:
            message = RecordHostHeartbeat(
                f"{data_centre}-records", data_centre, "127.0.0.1", 0, True
            )
            for relay in self.relays.values():
                if self.isolated in (None, relay.data_centre) or (
                    relay.data_centre != self.isolated and data_centre != self.isolated
                ):
                    relay.records.process_heartbeat(message)

    async def crash_relays(self):
        for name, relay in list(self.relays.items()):
            self.network.crash(name)
            self.start_relay(name, relay.data_centre)
        for relay in self.relays.values():
            relay.peers.known = [p.me for p in self.network.hosts.values()]

    async def restart_escrow(self, data_centre, wiped=False):
        await self.escrows.pop(data_centre).stop()
        if wiped:
            del self.disks[data_centre]
        await self.start_escrow(data_centre)


async def run_program(fleet, program, data_centre, turns):
    """Returns the tokens that a program used and the turns that it ended."""
    used = ended = 0
    for turn in range(turns):
        relay = fleet.relays[f"{data_centre}-host-{turn % 2 + 1}"]
        fleet.heartbeats()
        try:
            reservation = await relay.router.reserve(program, LIMIT, TURN_TOKENS)
        except Refused:
            await asyncio.sleep(0.2)
            continue
        await asyncio.sleep(0.1)
        reservation.settle(USUAL_TOKENS)
        used += USUAL_TOKENS
        ended += 1
        await asyncio.sleep(0.02)
    return used, ended


def play(loop, tmp_path, scenario):
    async def run():
        fleet = Fleet(loop, tmp_path)
        await fleet.start()
        try:
            return await scenario(fleet)
        finally:
            await fleet.stop()

    return loop.run_until_complete(run())


@pytest.mark.parametrize("limit", [0, 1, 300, 801, 2500, 1_000_003])
@pytest.mark.parametrize("data_centres", [0, 1, 3, 4, 9])
def test_the_parts_are_the_whole_budget(limit, data_centres):
    parts = divide_budget(limit, data_centres)
    assert parts.store + data_centres * parts.data_centre == limit
    assert parts.store >= limit * 2 // 3


@pytest.mark.parametrize("away_s", [4.0, 9.0])
def test_programs_run_while_the_store_is_away(loop, tmp_path, away_s):
    """Load pattern: programs start every 50 ms in each data centre, store away."""

    async def scenario(fleet):
        fleet.store_down = True
        fleet.apply_faults()
        programs = []
        for number in range(int(away_s / 0.05)):
            data_centre = DATA_CENTRES[number % 3]
            programs.append(run_program(fleet, f"p{number}", data_centre, 3))
        results = await asyncio.gather(*programs)
        return [ended for _, ended in results]

    ended = play(loop, tmp_path, scenario)
    assert ended == [3] * len(ended)


def test_a_program_uses_its_budget_and_no_more(loop, tmp_path):
    async def scenario(fleet):
        total, refusals = 0, set()
        for number in range(60):
            relay = list(fleet.relays.values())[number % 6]
            fleet.heartbeats()
            try:
                turn = await relay.router.reserve("loop", LIMIT, TURN_TOKENS)
            except Refused as exc:
                refusals.add(exc.refusal)
                continue
            turn.settle(TURN_TOKENS)
            total += TURN_TOKENS
            await asyncio.sleep(0.01)
        assert refusals == {BUDGET_SPENT}
        return total

    total = play(loop, tmp_path, scenario)
    assert LIMIT - TURN_TOKENS < total <= LIMIT


def test_a_long_program_begins_and_goes_on_in_an_isolated_data_centre(loop, tmp_path):
    """Load pattern: a data centre is cut off for 6 s while programs start in it."""

    async def scenario(fleet):
        fleet.isolated = "dc-2"
        fleet.apply_faults()
        relay = fleet.relays["dc-2-host-1"]
        fleet.heartbeats()
        limit = 25 * TURN_TOKENS
        for _ in range(4):
            turn = await relay.router.reserve("p", limit, TURN_TOKENS)
            turn.settle(USUAL_TOKENS)
            await asyncio.sleep(0.1)

    play(loop, tmp_path, scenario)


def test_a_program_goes_on_after_all_hosts_were_killed(loop, tmp_path):
    async def scenario(fleet):
        _, before = await run_program(fleet, "p", "dc-1", 2)
        await fleet.crash_relays()
        for data_centre in DATA_CENTRES:
            await fleet.restart_escrow(data_centre)
        await asyncio.sleep(0.2)
        _, after = await run_program(fleet, "p", "dc-1", 4)
        return before, after

    assert play(loop, tmp_path, scenario) == (2, 4)


def test_a_budget_is_spent_once_a_lost_escrow_host_has_no_heartbeat(loop, tmp_path):
    """Seen on a day that retired a record host: 503 without an end, never 402."""

    async def scenario(fleet):
        await fleet.escrows.pop("dc-3").stop()
        fleet.network.crash("dc-3-records")
        await asyncio.sleep(RecordSettings().silent_s)
        relay = fleet.relays["dc-1-host-1"]
        while True:
            fleet.heartbeats()
            try:
                turn = await relay.router.reserve("loop", LIMIT, TURN_TOKENS)
            except Refused as exc:
                return exc.refusal
            turn.settle(TURN_TOKENS)
            await asyncio.sleep(0.01)

    assert play(loop, tmp_path, scenario) is BUDGET_SPENT


@pytest.mark.parametrize("seed", range(25))
def test_no_faults_overspend_a_budget(loop, tmp_path, seed):
    """Store away, cuts, kills, wiped disks and lost replies, several at a time."""
    rng = random.Random(seed)

    async def scenario(fleet):
        spent, running = 0, []
        fleet.network.wire.faults = fleet.network.wire.faults._replace(drop=0.02)
        for _ in range(250):
            action = rng.random()
            fleet.heartbeats()
            if action < 0.6:
                relay = rng.choice(list(fleet.relays.values()))
                try:
                    turn = await relay.router.reserve("p", LIMIT, TURN_TOKENS)
                except Refused:
                    continue
                running.append(turn)
            elif action < 0.8 and running:
                used = rng.randrange(TURN_TOKENS + 1)
                running.pop(rng.randrange(len(running))).settle(used)
                spent += used
            elif action < 0.84:
                spent += TURN_TOKENS * len(running)
                running.clear()
                await fleet.crash_relays()
            elif action < 0.92:
                fleet.store_down = rng.random() < 0.5
                fleet.isolated = rng.choice((None, *DATA_CENTRES))
                fleet.apply_faults()
            elif action < 0.96:
                await fleet.restart_escrow(rng.choice(DATA_CENTRES), rng.random() < 0.5)
                fleet.apply_faults()
            else:
                await asyncio.sleep(rng.choice((0.5, 3.0)))
        assert spent + TURN_TOKENS * len(running) <= LIMIT

    play(loop, tmp_path, scenario)


def test_a_grant_is_recovered_from_disk(tmp_path):
    disk = EscrowDisk(tmp_path)
    disk.recover()
    disk.save_grants({"p": 70, "q": 30}, 90.0)
    disk.save_grants({"p": 90}, 90.0)
    disk.close()
    assert EscrowDisk(tmp_path).recover() == {"p": 90, "q": 30}


def test_an_identity_stays_with_its_disk(tmp_path):
    disk = EscrowDisk(tmp_path)
    disk.recover()
    identity = disk.load_identity()._replace(settled=True)
    disk.save_identity(identity)
    assert EscrowDisk(tmp_path).load_identity() == identity


def test_a_damaged_identity_makes_another_disk(tmp_path):
    disk = EscrowDisk(tmp_path)
    disk.recover()
    before = disk.load_identity()
    (tmp_path / "identity").write_bytes(b"\x93")
    after = EscrowDisk(tmp_path).load_identity()
    assert after.disk != before.disk
    assert not after.settled


def test_a_disk_whose_grants_cannot_be_read_is_another_disk(tmp_path):
    disk = EscrowDisk(tmp_path)
    disk.recover()
    disk.save_identity(disk.load_identity()._replace(settled=True))
    (tmp_path / "00000001.log").mkdir()
    disk = EscrowDisk(tmp_path)
    assert disk.recover() == {}
    assert not disk.load_identity().settled


def test_grants_are_remembered_until_there_are_too_many_programs(monkeypatch):
    """Guards against a program that returns and is granted its part again (BUDGET)."""
    monkeypatch.setattr("magnoliaroad.relay.escrow_ledger.MAX_PROGRAMS", 2)
    idle_s = TurnSettings().budget_retention_s
    ledger = EscrowLedger(1)
    for number, program in enumerate("pqrs"):
        assert ledger.grant(float(number), EscrowRequest(program, 300, 100)) == 100
    assert ledger.remove_idle(idle_s - 10.0, idle_s) == []
    assert ledger.remove_idle(idle_s + 0.5, idle_s) == ["p"]
    assert ledger.remove_idle(1000.0, idle_s) == ["q"]
    assert ledger.remove_idle(2000.0, idle_s) == []
    assert [ledger.total(program) for program in "pqrs"] == [0, 0, 100, 100]
    assert ledger.grant(2001.0, EscrowRequest("r", 300, 100)) == 0


def test_the_first_holder_grants_at_once_and_a_later_one_waits():
    first = EscrowRole(EscrowHolder("r1", "disk-1"), first_start=True)
    assert first.check(0.0, None, {"r1"})
    first.registered(0.0)
    assert first.may_grant(0.1)
    later = EscrowRole(EscrowHolder("r1", "disk-2"), first_start=False)
    assert later.check(5.0, first.holder, {"r1"})
    later.registered(5.0)
    assert not later.may_grant(5.1)
    later.check(5.0 + TAKEOVER_WAIT_S, later.holder, {"r1"})
    assert later.may_grant(5.1 + TAKEOVER_WAIT_S)


def test_a_holder_grants_nothing_after_another_was_named():
    role = EscrowRole(EscrowHolder("r1", "disk-1"), first_start=True)
    role.check(0.0, None, set())
    role.registered(0.0)
    other = EscrowHolder("r2", "disk-2")
    assert not role.check(30.0, other, {"r1", "r2"})
    assert not role.may_grant(30.0)
    assert role.check(60.0, other, {"r1"})
    role.registered(60.0)
    assert not role.may_grant(60.0)


def test_a_holder_that_the_store_has_not_confirmed_stops_granting():
    role = EscrowRole(EscrowHolder("r1", "disk-1"), False, settled=True)
    assert not role.may_grant(0.0)
    role.check(0.0, role.holder, set())
    assert role.may_grant(CONFIRMATION_LIFETIME_S)
    assert not role.may_grant(CONFIRMATION_LIFETIME_S + 0.1)


def test_a_lost_reply_of_the_registration_is_made_good():
    role = EscrowRole(EscrowHolder("r1", "disk-1"), first_start=True)
    assert role.check(0.0, None, set())
    assert not role.check(1.0, role.holder, set())
    assert role.may_grant(1.0)
