"""What a host decides from heartbeats of its peers, which the tests pass to it."""

import asyncio
import random
import time

import pytest

from magnoliaroad.peers import PeerAddress
from magnoliaroad.relay.app import RelayApplication
from magnoliaroad.relay.digest import Digest
from magnoliaroad.relay.fleet import (
    DISCOVERY_S,
    HOSTS_PER_CLAIM_WRITER,
    MIN_COUNTERS,
    FleetService,
)
from magnoliaroad.relay.fleet_messages import BudgetLoanReply, Heartbeat
from magnoliaroad.relay.heartbeat_tracker import (
    FIRST_HEARTBEAT_WAIT_S,
    HOST_LOST_S,
    INCARNATION_FRESH_S,
    MIN_DATA_CENTRE_SILENCE_S,
    ReceivedHeartbeat,
)
from magnoliaroad.relay.quota import TeamCount
from magnoliaroad.relay.settings import RelayListen, RelaySettings
from magnoliaroad.relay.slowness_detector import SLOW_SAMPLES
from magnoliaroad.relay.target import TargetStart
from magnoliaroad.relay.target_table import TargetCooldown
from magnoliaroad.rendezvous import highest_ranked
from magnoliaroad.standins.kv_state import KvState
from magnoliaroad.standins.local_store import LocalStore
from magnoliaroad.store.settings import StoreSettings
from tests.relay.test_targets import StandinEntryDecoder


@pytest.fixture
async def fleet() -> FleetService:
    cfg = RelaySettings(
        name="host-m",
        data_centre="dc-1",
        listen=RelayListen("127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3"),
        store=StoreSettings("http://127.0.0.1:4"),
    )
    store = LocalStore(KvState(), time.monotonic)
    return RelayApplication(cfg, store, None, StandinEntryDecoder()).fleet


def heartbeat_of(host, data_centre, store_lost=False, slow=False):
    return Heartbeat(
        host=host,
        boot="b",
        data_centre=data_centre,
        address="127.0.0.1",
        port=1,
        age_s=100.0,
        draining=False,
        store_lost=store_lost,
        slow=slow,
        targets_revision=0,
        plan_version=-1,
        plan_key="",
        plan_bytes=0,
        admitted={},
        has_all_teams=True,
        in_flight={},
        cooldowns={},
    )


def receive(fleet, host, data_centre, age_s=0.0, **changes):
    heartbeat = heartbeat_of(host, data_centre, **changes)
    fleet._tracker.receive(time.monotonic(), heartbeat)
    fleet._tracker.latest[host] = ReceivedHeartbeat(heartbeat, time.monotonic() - age_s)
    address = PeerAddress(host, data_centre, "127.0.0.1", 1)
    if fleet._tracker.members.get(host) != address:
        fleet._set_members({**fleet._tracker.members, host: address})


def make_slow(fleet):
    for _ in range(SLOW_SAMPLES):
        fleet._slowness.add_sample(1.0)


async def test_a_budget_is_counted_in_the_callers_data_centre(fleet):
    receive(fleet, "host-a", "dc-1")
    receive(fleet, "host-b", "dc-2")
    assert sorted(fleet.budget_hosts()) == ["host-a", "host-m"]


async def test_slow_hosts_and_those_without_the_store_count_no_budgets(fleet):
    receive(fleet, "host-a", "dc-1", slow=True)
    receive(fleet, "host-b", "dc-1", store_lost=True)
    receive(fleet, "host-c", "dc-2")
    assert fleet.budget_hosts() == ["host-m"]
    make_slow(fleet)
    assert fleet.budget_hosts() == ["host-c"]


async def test_claims_of_all_hosts_are_written_by_the_first_that_can(fleet):
    receive(fleet, "host-a", "dc-2", store_lost=True)
    receive(fleet, "host-b", "dc-2", slow=True)
    receive(fleet, "host-z", "dc-1")
    assert fleet.claim_writers() == ["host-m"]
    receive(fleet, "host-c", "dc-2")
    assert fleet.claim_writers() == ["host-c"]
    for number in range(HOSTS_PER_CLAIM_WRITER):
        receive(fleet, f"host-{number}", "dc-2")
    assert fleet.claim_writers() == ["host-0", "host-1"]


async def test_a_store_lost_by_a_peer_of_the_data_centre_is_checked_once(fleet):
    """Grown Sokol trouble-1: each host detected the loss by a program of its own."""
    doubts = []
    fleet._contact.request_probe = lambda: doubts.append("asked")
    fleet._on_heartbeat("host-a", heartbeat_of("host-a", "dc-1"))
    fleet._on_heartbeat("host-b", heartbeat_of("host-b", "dc-2", store_lost=True))
    assert doubts == []
    for _ in range(3):
        fleet._on_heartbeat("host-a", heartbeat_of("host-a", "dc-1", store_lost=True))
    assert doubts == ["asked"]
    fleet._contact.lost = True
    fleet._on_heartbeat("host-c", heartbeat_of("host-c", "dc-1", store_lost=True))
    assert doubts == ["asked"]


async def test_one_slow_host_of_three_turns_callers_away_and_not_all(fleet):
    receive(fleet, "host-a", "dc-1")
    receive(fleet, "host-b", "dc-1")
    make_slow(fleet)
    assert fleet.diverts_callers()
    receive(fleet, "host-a", "dc-1", slow=True)
    assert not fleet.diverts_callers()


async def test_a_slow_host_without_peers_keeps_serving(fleet):
    make_slow(fleet)
    assert not fleet.diverts_callers()


async def test_silence_of_all_other_data_centres_shows_a_partition(fleet):
    receive(fleet, "host-a", "dc-1")
    for number in range(20):
        receive(fleet, f"host-{number}", "dc-2", age_s=MIN_DATA_CENTRE_SILENCE_S + 0.1)
    assert fleet._tracker.far_interval_s < 0.6
    assert fleet._tracker.is_alone(time.monotonic())
    receive(fleet, "host-7", "dc-2", age_s=0.2)
    assert not fleet._tracker.is_alone(time.monotonic())


async def test_a_host_that_has_just_started_leaves_store_watches_to_others(fleet):
    assert not fleet.follows_store()
    await fleet.read_list()
    assert fleet.follows_store()
    receive(fleet, "host-z", "dc-1")
    assert not fleet.follows_store()
    fleet._began -= DISCOVERY_S
    assert fleet.follows_store()


async def test_the_first_host_in_contact_with_the_store_follows_it(fleet):
    receive(fleet, "host-a", "dc-1", store_lost=True)
    receive(fleet, "host-b", "dc-2")
    fleet._began -= DISCOVERY_S
    assert fleet.follows_store()
    assert not fleet.uses_short_watches()
    receive(fleet, "host-c", "dc-1")
    assert not fleet.follows_store()
    fleet._contact.lost = True
    assert not fleet.follows_store()


@pytest.mark.parametrize("elsewhere", [2, 8, 40, 66])
async def test_a_data_centre_is_not_silent_by_chance(fleet, elsewhere):
    chance = random.Random(elsewhere)
    for number in range(elsewhere):
        receive(fleet, f"host-{number}", f"dc-{2 + number % 2}")
    interval_s = fleet._tracker.far_interval_s
    for _ in range(1000):
        for number in range(elsewhere):
            # Age of the newest heartbeat; gaps are half to one and a half intervals.
            gap_s = interval_s * chance.choices((0.5, 1.0, 1.5), (1, 2, 3))[0]
            age_s = chance.uniform(0.0, gap_s)
            receive(fleet, f"host-{number}", f"dc-{2 + number % 2}", age_s=age_s)
        assert not fleet._tracker.find_silent_data_centres(time.monotonic())


async def test_hosts_of_a_silent_data_centre_count_as_out_of_contact_at_once(fleet):
    receive(fleet, "host-a", "dc-1")
    for number in range(60):
        receive(fleet, f"host-{number}", f"dc-{2 + number % 2}", age_s=0.6)
    receive(fleet, "host-1", "dc-3")
    assert fleet._tracker.far_silent_s > 0.6
    fleet._update_silent()
    assert len(fleet._tracker.silent) == 30
    assert fleet._quota.contact_fraction() == 32 / 62


async def test_listed_hosts_count_teams_before_their_first_heartbeat(fleet):
    """After a restart of all hosts, requests come before any heartbeat has arrived."""
    address = PeerAddress("host-a", "dc-2", "127.0.0.1", 1)
    fleet._set_members({"host-a": address})
    fleet._update_silent()
    assert fleet.count_hosts() == ["host-a", "host-m"]
    fleet._tracker._known_at["host-a"] -= FIRST_HEARTBEAT_WAIT_S
    fleet._counters_state = None
    assert fleet.count_hosts() == ["host-m"]


async def test_few_hosts_of_a_large_fleet_count_for_the_others(fleet):
    for number in range(60):
        receive(fleet, f"host-{number}", f"dc-{1 + number % 3}")
    assert len(fleet.count_hosts()) == 3 * MIN_COUNTERS
    assert len(fleet.budget_hosts()) == MIN_COUNTERS
    assert fleet.count_hosts() is fleet.count_hosts()
    lost = fleet.budget_hosts()[0]
    receive(fleet, lost, "dc-1", slow=True, store_lost=True)
    assert lost not in {*fleet.budget_hosts(), *fleet.count_hosts()}
    assert len(fleet.count_hosts()) == 3 * MIN_COUNTERS


async def test_an_ended_incarnation_has_no_tokens_to_lend(fleet):
    """Guards against asking a killed host's claim for tokens without an end."""
    receive(fleet, "host-a", "dc-1")
    reply = await fleet.ask_budget("host-a#killed", "p")
    assert reply.lent == 0
    # A host that is silent may have a later incarnation, which holds the claim.
    receive(fleet, "host-a", "dc-1", age_s=2 * INCARNATION_FRESH_S)
    assert await fleet.ask_budget("host-a#later", "p") is None
    assert await fleet.ask_budget("host-x#unknown", "p") is None


async def test_a_restarted_host_does_not_wait_for_its_own_former_claim(fleet):
    """Guards against refusing a program's turns as long as it lasts (LOST)."""
    reply = await fleet.ask_budget("host-m#killed", "p")
    assert reply is not None
    assert reply.lent == 0


def make_silent(fleet, host, silent_s):
    """Makes a host one that was found out of contact ``silent_s`` ago."""
    heartbeat, received_at = fleet._tracker.latest[host]
    fleet._tracker.latest[host] = ReceivedHeartbeat(heartbeat, received_at - 100.0)
    fleet._tracker.update_silent(time.monotonic() - silent_s)


async def test_a_host_that_stays_silent_has_no_tokens_to_lend(fleet):
    """Guards against asking a host that was removed for good without an end (LOST)."""
    receive(fleet, "host-a", "dc-1")
    receive(fleet, "host-b", "dc-1")
    make_silent(fleet, "host-b", HOST_LOST_S)
    reply = await fleet.ask_budget("host-b#b", "p")
    assert reply is not None
    assert reply.lent == 0
    fleet._tracker._began -= HOST_LOST_S
    assert await fleet.ask_budget("host-x#unknown", "p") is not None


@pytest.mark.parametrize("case", ["briefly", "isolated", "partition", "own pause"])
async def test_a_silent_host_that_may_return_may_still_lend(fleet, case):
    """Guards against calling a budget spent of which a host still has a part."""
    receive(fleet, "host-a", "dc-1")
    receive(fleet, "host-b", "dc-2")
    if case != "partition":
        receive(fleet, "host-c", "dc-2")
    if case == "own pause":
        receive(fleet, "host-b", "dc-2", age_s=2 * HOST_LOST_S)
    else:
        make_silent(fleet, "host-b", HOST_LOST_S * (0.5 if case == "briefly" else 2))
    fleet._contact.lost = case == "isolated"
    fleet._update_silent()
    assert await fleet.ask_budget("host-b#b", "p") is None


async def test_hosts_of_a_large_fleet_in_contact_are_not_lost(fleet):
    """Guards against a silence that is usual where heartbeats come seldom."""
    for number in range(300):
        receive(fleet, f"host-{number}", f"dc-{number % 3 + 1}")
    late_s = HOST_LOST_S + 0.1
    assert fleet._tracker.far_silent_s > late_s
    receive(fleet, "host-1", "dc-2", age_s=late_s)
    fleet._update_silent()
    assert await fleet.ask_budget("host-1#b", "p") is None


async def test_a_host_in_contact_is_asked_whichever_incarnation_claimed(fleet):
    """Guards against waiting for heartbeats where they come seldom (LOST)."""
    asked = []

    async def call(host, message, timeout_s=None):
        asked.append(host)
        return BudgetLoanReply(0 if host == "host-a" else 7)

    fleet._peers.call = call
    receive(fleet, "host-a", "dc-1", age_s=2 * INCARNATION_FRESH_S)
    receive(fleet, "host-b", "dc-1")
    assert (await fleet.ask_budget("host-a#killed", "p")).lent == 0
    assert (await fleet.ask_budget("host-b#b", "p")).lent == 7
    assert asked == ["host-a", "host-b"]


async def test_a_lender_to_which_no_connection_opens_is_not_waited_for(fleet):
    """Guards against a dead host that takes the whole time limit of a claim (LOST)."""

    async def call(host, message, timeout_s=None):
        await asyncio.sleep(60.0)

    fleet._peers.call = call
    receive(fleet, "host-a", "dc-1")
    async with asyncio.timeout(30.0):
        assert await fleet.ask_budget("host-a#b", "p") is None


async def test_hosts_of_a_data_centre_count_budgets_while_none_reaches_the_store(fleet):
    receive(fleet, "host-a", "dc-1", store_lost=True)
    receive(fleet, "host-s", "dc-1", store_lost=True, slow=True)
    receive(fleet, "host-b", "dc-2", store_lost=True)
    fleet._contact.lost = True
    assert sorted(fleet.budget_hosts()) == ["host-a", "host-m"]


async def test_data_centres_in_contact_are_those_of_hosts_with_heartbeats(fleet):
    receive(fleet, "host-b", "dc-2")
    receive(fleet, "host-c", "dc-3", age_s=60.0)
    fleet._update_silent()
    assert fleet.data_centres_in_contact() == {"dc-1", "dc-2"}


def digest_of(heartbeats, age_ms=10):
    return Digest(
        data_centre="dc-1",
        inter_data_centre=False,
        heartbeats=heartbeats,
        ages={heartbeat.host: age_ms for heartbeat in heartbeats},
        in_flight={},
        record_hosts=[],
    )


@pytest.fixture
def processed(fleet):
    """Returns the hosts whose state was processed."""
    hosts = []
    merge = fleet._quota.merge_peer_counts

    def merge_peer_counts(now, host, *args):
        hosts.append(host)
        merge(now, host, *args)

    fleet._quota.merge_peer_counts = merge_peer_counts
    return hosts


def many_heartbeats(**changes):
    return [
        heartbeat_of(f"host-{n}", f"dc-{n % 5}")._replace(**changes) for n in range(80)
    ]


async def test_a_state_that_is_sent_again_is_not_processed_again(fleet, processed):
    """Grown Sokol: a host took a third of its time for the same state of others."""
    fleet._on_digest("host-1", digest_of(many_heartbeats()))
    assert len(processed) == 80
    processed.clear()
    for number in range(8):
        repeated = many_heartbeats(age_s=101.0 + number, has_all_teams=number == 5)
        fleet._on_digest("host-1", digest_of(repeated))
        fleet._on_digest("host-2", digest_of(repeated))
        fleet._on_heartbeat("host-3", repeated[3]._replace(in_flight={"target": 1}))
    assert processed == []
    assert fleet._tracker.latest["host-3"].heartbeat.in_flight == {"target": 1}


async def test_each_change_of_state_is_processed(fleet, processed):
    fleet._on_digest("host-1", digest_of(many_heartbeats(has_all_teams=False)))
    changes = {
        "admitted": {"team": TeamCount(1, 0)},
        "has_all_teams": True,
        "targets_revision": 1,
        "plan_version": 1,
        "cooldowns": {"target": TargetCooldown(1, 0.5)},
        "leaving": [TargetStart("target", 1)],
        "quarantined": 1,
        "draining": True,
        "store_lost": True,
        "slow": True,
        "port": 2,
        "boot": "c",
    }
    state = heartbeat_of("host-1", "dc-1")._replace(has_all_teams=False)
    for number, (field, value) in enumerate(changes.items()):
        processed.clear()
        age_s = 0.1 if field == "boot" else 101.0 + number
        state = state._replace(**{field: value}, age_s=age_s)
        fleet._on_digest("host-2", digest_of([state]))
        assert processed == ["host-1"], field
        fleet._on_digest("host-3", digest_of([state]))
        assert processed == ["host-1"], field


async def test_an_older_state_does_not_replace_a_repeated_one(fleet):
    later = heartbeat_of("host-1", "dc-1")
    fleet._on_digest("host-2", digest_of([later]))
    fleet._on_digest("host-2", digest_of([later._replace(age_s=120.0)]))
    fleet._on_digest("host-3", digest_of([later._replace(age_s=110.0, slow=True)]))
    assert not fleet._tracker.in_contact()["host-1"].slow


async def test_a_silent_host_is_in_contact_again_though_its_state_is_the_same(fleet):
    heartbeat = heartbeat_of("host-1", "dc-1")
    fleet._on_digest("host-2", digest_of([heartbeat], age_ms=60_000))
    fleet._update_silent()
    assert fleet.hosts_in_contact() == []
    fleet._on_heartbeat("host-1", heartbeat._replace(age_s=101.0))
    assert fleet.hosts_in_contact() == ["host-1"]


async def test_hosts_are_chosen_anew_only_if_their_use_changes(fleet):
    fleet._on_digest("host-1", digest_of(many_heartbeats()))
    version = fleet._tracker.version
    changed = many_heartbeats(age_s=101.0, targets_revision=7, plan_version=2)
    fleet._on_digest("host-1", digest_of(changed))
    assert fleet._tracker.version == version
    assert {h.plan_version for h in fleet._tracker.newest_in_contact()} == {2}
    fleet._on_digest("host-1", digest_of(many_heartbeats(age_s=102.0, slow=True)))
    assert fleet._tracker.version > version


async def test_home_hosts_of_programs_stay_while_hosts_lose_the_store_in_turn(fleet):
    """Guards against programs that lose tokens to two changes of their home host."""
    names = [f"host-{number}" for number in range(10)]
    for name in names:
        receive(fleet, name, "dc-1")
    before = sorted(fleet.budget_hosts())
    for count in range(6, 11):
        for name in names[:count]:
            receive(fleet, name, "dc-1", store_lost=True)
        assert sorted(fleet.budget_hosts()) == before
    fleet._contact.lost = True
    assert sorted(fleet.budget_hosts()) == before


async def test_a_former_home_host_is_asked_for_tokens_first(fleet):
    for number in range(40):
        receive(fleet, f"host-{number}", f"dc-{1 + number % 2}")
    programs = [f"p-{number}" for number in range(30)]
    homes = {p: highest_ranked(p, fleet.budget_hosts()) for p in programs}
    for host in fleet.budget_hosts():
        if host != "host-m":
            receive(fleet, host, "dc-1", store_lost=True)
    now = {p: highest_ranked(p, fleet.budget_hosts()) for p in programs}
    moved = [p for p in programs if now[p] != homes[p] and homes[p] != "host-m"]
    assert moved
    for program in moved:
        asked = [holder.partition("#")[0] for holder in fleet.holders(program)[:2]]
        assert homes[program] in asked
