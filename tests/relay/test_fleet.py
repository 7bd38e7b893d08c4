"""What a host concludes from the beats of its peers; no beat is sent here."""

import random
import time

import pytest

from magnoliaroad.peers import PeerAddress
from magnoliaroad.relay.app import RelayApplication
from magnoliaroad.relay.beat import Beat
from magnoliaroad.relay.fleet import (
    HEARING_S,
    HOSTS_A_WRITER,
    LEAST_COUNTERS,
    FleetService,
)
from magnoliaroad.relay.host_book import ALONE_S, UNHEARD_S, Heard
from magnoliaroad.relay.pace_judge import SLOW_SAMPLES
from magnoliaroad.relay.settings import RelayListen, RelaySettings
from magnoliaroad.standins.kv_state import KvState
from magnoliaroad.standins.local_store import LocalStore
from magnoliaroad.store.settings import StoreSettings
from tests.relay.test_targets import PlainDirectory


@pytest.fixture
async def fleet() -> FleetService:
    cfg = RelaySettings(
        name="host-m",
        data_centre="dc-1",
        listen=RelayListen("127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3"),
        store=StoreSettings("http://127.0.0.1:4"),
    )
    store = LocalStore(KvState(), time.monotonic)
    return RelayApplication(cfg, store, None, PlainDirectory()).fleet


def beat_of(host, data_centre, store_lost=False, slow=False):
    return Beat(
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
        whole=True,
        in_hand={},
        rests={},
    )


def hear(fleet, host, data_centre, age_s=0.0, **changes):
    beat = beat_of(host, data_centre, **changes)
    fleet._book.hear(time.monotonic(), beat)
    fleet._book.heard[host] = Heard(beat, time.monotonic() - age_s)
    address = PeerAddress(host, data_centre, "127.0.0.1", 1)
    if fleet._book.members.get(host) != address:
        fleet._set_members({**fleet._book.members, host: address})


def make_slow(fleet):
    for _ in range(SLOW_SAMPLES):
        fleet._judge.note(1.0)


async def test_a_budget_is_counted_in_the_callers_data_centre(fleet):
    hear(fleet, "host-a", "dc-1")
    hear(fleet, "host-b", "dc-2")
    assert sorted(fleet.budget_hosts()) == ["host-a", "host-m"]


async def test_slow_hosts_and_those_without_the_store_count_no_budgets(fleet):
    hear(fleet, "host-a", "dc-1", slow=True)
    hear(fleet, "host-b", "dc-1", store_lost=True)
    hear(fleet, "host-c", "dc-2")
    assert fleet.budget_hosts() == ["host-m"]
    make_slow(fleet)
    assert fleet.budget_hosts() == ["host-c"]


async def test_claims_of_all_hosts_are_written_by_the_first_that_can(fleet):
    hear(fleet, "host-a", "dc-2", store_lost=True)
    hear(fleet, "host-b", "dc-2", slow=True)
    hear(fleet, "host-z", "dc-1")
    assert fleet.claim_writers() == ["host-m"]
    hear(fleet, "host-c", "dc-2")
    assert fleet.claim_writers() == ["host-c"]
    for number in range(HOSTS_A_WRITER):
        hear(fleet, f"host-{number}", "dc-2")
    assert fleet.claim_writers() == ["host-0", "host-1"]


async def test_a_store_that_a_near_peer_has_lost_is_asked_for_once(fleet):
    """Grown Sokol trouble-1: each host noticed by a program of its own."""
    doubts = []
    fleet._contact.doubt = lambda: doubts.append("asked")
    fleet._on_beat("host-a", beat_of("host-a", "dc-1"))
    fleet._on_beat("host-b", beat_of("host-b", "dc-2", store_lost=True))
    assert doubts == []
    for _ in range(3):
        fleet._on_beat("host-a", beat_of("host-a", "dc-1", store_lost=True))
    assert doubts == ["asked"]
    fleet._contact.lost = True
    fleet._on_beat("host-c", beat_of("host-c", "dc-1", store_lost=True))
    assert doubts == ["asked"]


async def test_one_slow_host_of_three_turns_callers_away_and_not_all(fleet):
    hear(fleet, "host-a", "dc-1")
    hear(fleet, "host-b", "dc-1")
    make_slow(fleet)
    assert fleet.cut_off()
    hear(fleet, "host-a", "dc-1", slow=True)
    assert not fleet.cut_off()


async def test_a_slow_host_that_is_alone_serves_on(fleet):
    make_slow(fleet)
    assert not fleet.cut_off()


async def test_silence_of_all_other_data_centres_shows_a_cut(fleet):
    hear(fleet, "host-a", "dc-1")
    for number in range(20):
        hear(fleet, f"host-{number}", "dc-2", age_s=ALONE_S + 0.1)
    assert fleet._book.far_s < 0.6
    assert fleet._book.alone(time.monotonic())
    hear(fleet, "host-7", "dc-2", age_s=0.2)
    assert not fleet._book.alone(time.monotonic())


async def test_a_host_that_has_just_started_leaves_the_store_to_others(fleet):
    assert not fleet.follows_store()
    await fleet.read_list()
    assert fleet.follows_store()
    hear(fleet, "host-z", "dc-1")
    assert not fleet.follows_store()
    fleet._began -= HEARING_S
    assert fleet.follows_store()


async def test_the_first_host_in_contact_with_the_store_follows_it(fleet):
    hear(fleet, "host-a", "dc-1", store_lost=True)
    hear(fleet, "host-b", "dc-2")
    fleet._began -= HEARING_S
    assert fleet.follows_store()
    assert not fleet.watches_closely()
    hear(fleet, "host-c", "dc-1")
    assert not fleet.follows_store()
    fleet._contact.lost = True
    assert not fleet.follows_store()


@pytest.mark.parametrize("elsewhere", [2, 8, 40, 66])
async def test_a_data_centre_is_not_silent_by_chance(fleet, elsewhere):
    chance = random.Random(elsewhere)
    for number in range(elsewhere):
        hear(fleet, f"host-{number}", f"dc-{2 + number % 2}")
    interval_s = fleet._book.far_s
    for _ in range(1000):
        for number in range(elsewhere):
            # Age of the newest of beats with gaps of half to one and a half intervals.
            gap_s = interval_s * chance.choices((0.5, 1.0, 1.5), (1, 2, 3))[0]
            age_s = chance.uniform(0.0, gap_s)
            hear(fleet, f"host-{number}", f"dc-{2 + number % 2}", age_s=age_s)
        assert not fleet._book.silent_places(time.monotonic())


async def test_hosts_of_a_silent_data_centre_count_as_out_of_contact_at_once(fleet):
    hear(fleet, "host-a", "dc-1")
    for number in range(60):
        hear(fleet, f"host-{number}", f"dc-{2 + number % 2}", age_s=0.6)
    hear(fleet, "host-1", "dc-3")
    assert fleet._book.far_silent_s > 0.6
    fleet._count_silent()
    assert len(fleet._book.silent) == 30
    assert fleet._quota._reach() == 32 / 62


async def test_listed_hosts_count_teams_until_they_could_be_heard(fleet):
    """All hosts killed at once: none has heard another when requests come."""
    address = PeerAddress("host-a", "dc-2", "127.0.0.1", 1)
    fleet._set_members({"host-a": address})
    fleet._count_silent()
    assert fleet.count_hosts() == ["host-a", "host-m"]
    fleet._book._known_at["host-a"] -= UNHEARD_S
    fleet._counting_for = None
    assert fleet.count_hosts() == ["host-m"]


async def test_few_hosts_of_a_large_fleet_count_for_the_others(fleet):
    for number in range(60):
        hear(fleet, f"host-{number}", f"dc-{1 + number % 3}")
    assert len(fleet.count_hosts()) == 3 * LEAST_COUNTERS
    assert len(fleet.budget_hosts()) == LEAST_COUNTERS
    assert fleet.count_hosts() is fleet.count_hosts()
    lost = fleet.budget_hosts()[0]
    hear(fleet, lost, "dc-1", slow=True, store_lost=True)
    assert lost not in {*fleet.budget_hosts(), *fleet.count_hosts()}
    assert len(fleet.count_hosts()) == 3 * LEAST_COUNTERS
