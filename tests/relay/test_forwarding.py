"""Forwarding of heartbeats in a large fleet, in simulated time."""

import math
import random

import pytest

from magnoliaroad.peers import PeerAddress
from magnoliaroad.records.messages import RecordHostHeartbeat
from magnoliaroad.relay.digest import FULL_EVERY, Digest, HeartbeatFilter
from magnoliaroad.relay.fleet_messages import Heartbeat
from magnoliaroad.relay.heartbeat_state import STATE_FIELDS, USE_FIELDS
from magnoliaroad.relay.heartbeat_tracker import MAX_DIRECT_HOSTS
from magnoliaroad.relay.metrics import DIGEST_HEARTBEATS
from magnoliaroad.relay.quota import TeamCount
from tests.relay.fleet_sim import FleetSim
from tests.relay.test_fleet import heartbeat_of

# Largest age of known in-flight requests, and the longest time until all hosts count a
# silent host as out of contact, in seconds.
MAX_AGE_S = 1.0
MAX_DETECTION_S = 2.0
# Link of the smallest hosts in bytes a second, and the longest time by which an answer
# may be late, in seconds.
LINK_BYTES_PER_S = 1_875_000
MAX_ANSWER_DELAY_S = 0.5
RECORD_HOSTS = [
    (RecordHostHeartbeat(f"store-kolkata-{n}", "dc-0", "127.0.0.1", 1, True), 300)
    for n in range(24)
]


def forwarders(sim):
    return sorted(n for n, host in sim.hosts.items() if host.router.forwards)


@pytest.mark.parametrize(("hosts", "data_centres"), [(30, 3), (171, 5)])
def test_each_data_centre_has_two_forwarders(hosts, data_centres):
    sim = FleetSim(hosts, data_centres)
    sim.run(4.0)
    assert len(forwarders(sim)) == 2 * data_centres
    assert all(
        len(host.tracker.in_contact()) == hosts - 1 for host in sim.hosts.values()
    )


def test_hosts_of_a_small_fleet_send_heartbeats_directly():
    sim = FleetSim(MAX_DIRECT_HOSTS, 3)
    sim.run(2.0)
    assert len(forwarders(sim)) == MAX_DIRECT_HOSTS
    assert all(
        len(host.tracker.latest) == MAX_DIRECT_HOSTS - 1 for host in sim.hosts.values()
    )


@pytest.mark.parametrize(("hosts", "data_centres"), [(70, 4), (171, 5)])
def test_in_flight_requests_are_known_everywhere_within_a_second(hosts, data_centres):
    sim = FleetSim(hosts, data_centres)
    sim.run(4.0)
    for number, host in enumerate(sim.hosts.values()):
        host.in_flight = {"target": 1, f"target-{number % 7}": 2}
    sim.run(MAX_AGE_S)
    plain = [host for host in sim.hosts.values() if not host.router.forwards]
    assert [host.total_in_flight["target"] for host in plain] == [hosts] * len(plain)
    for host in sim.hosts.values():
        host.in_flight = {}
    sim.run(MAX_AGE_S)
    assert [host.total_in_flight for host in plain] == [{}] * len(plain)


@pytest.mark.parametrize(("hosts", "lost"), [(171, 0.0), (100, 0.2)])
def test_a_silent_host_is_out_of_contact_everywhere_in_time(hosts, lost):
    sim = FleetSim(hosts, 5, lost=lost)
    sim.run(6.0)
    plain = next(n for n, host in sim.hosts.items() if not host.router.forwards)
    sim.kill(plain)
    sim.run(MAX_DETECTION_S if not lost else MAX_DETECTION_S + 1.0)
    assert sim.silent_at(plain) == hosts - 1


def test_no_host_counts_as_silent_while_all_run():
    sim = FleetSim(100, 5)
    sim.run(4.0)
    for _ in range(30):
        sim.run(0.1)
        assert not any(host.tracker.silent for host in sim.hosts.values())


def test_the_loss_of_a_forwarder_silences_nobody_else():
    sim = FleetSim(100, 5)
    sim.run(4.0)
    lost = forwarders(sim)[0]
    sim.kill(lost)
    for _ in range(30):
        sim.run(0.1)
        assert not any(h.tracker.silent - {lost} for h in sim.hosts.values())
    assert sim.silent_at(lost) == 99
    assert len(forwarders(sim)) == 10


def test_both_forwarders_of_a_data_centre_are_replaced():
    sim = FleetSim(100, 5)
    sim.run(4.0)
    lost = [n for n in forwarders(sim) if sim.addresses[n].data_centre == "dc-1"]
    for name in lost:
        sim.kill(name)
    sim.run(4.0)
    assert len(forwarders(sim)) == 10
    assert not any(h.tracker.silent - set(lost) for h in sim.hosts.values())


def test_a_cut_off_data_centre_counts_as_silent_and_returns():
    sim = FleetSim(171, 5)
    sim.run(4.0)
    sim.cut = {"dc-2"}
    sim.run(MAX_DETECTION_S)
    within = [h for h in sim.hosts.values() if h.cfg.data_centre == "dc-2"]
    assert all(host.tracker.is_alone(sim.now) for host in within)
    assert all(len(host.tracker.silent) == 171 - len(within) for host in within)
    sim.cut = set()
    sim.run(4.0)
    assert not any(host.tracker.silent for host in sim.hosts.values())


def test_a_restarted_host_and_all_others_are_in_contact_again():
    sim = FleetSim(100, 5)
    sim.run(4.0)
    name = next(n for n, host in sim.hosts.items() if not host.router.forwards)
    sim.kill(name)
    sim.run(1.0)
    sim.start(name, boot="2")
    sim.run(2.0)
    others = [host for n, host in sim.hosts.items() if n != name]
    assert {host.tracker.latest[name].heartbeat.boot for host in others} == {"2"}
    assert len(sim.hosts[name].tracker.in_contact()) == 99


@pytest.mark.parametrize("seed", range(4))
def test_after_losses_and_kills_all_hosts_are_in_contact_again(seed):
    chance = random.Random(seed)
    sim = FleetSim(60, 3, seed=seed, lost=0.3)
    for step in range(12):
        name = chance.choice(sorted(sim.hosts))
        sim.kill(name)
        sim.cut = {f"dc-{chance.randrange(3)}"} if chance.random() < 0.4 else set()
        sim.run(chance.uniform(0.0, 1.5))
        sim.start(name, boot=f"boot-{step}")
    sim.lost, sim.cut = 0.0, set()
    sim.run(6.0)
    boots = {name: host.boot for name, host in sim.hosts.items()}
    for name, host in sim.hosts.items():
        known = {
            n: heartbeat.boot for n, heartbeat in host.tracker.in_contact().items()
        }
        assert known == {n: boot for n, boot in boots.items() if n != name}


def test_messages_per_host_do_not_grow_with_the_fleet():
    def rates(hosts, data_centres):
        sim = FleetSim(hosts, data_centres)
        sim.run(3.0)
        for host in sim.hosts.values():
            host.sent = host.received = 0
        sim.run(3.0)
        plain = [h for h in sim.hosts.values() if not h.router.forwards]
        handled = sum(h.sent + h.received for h in plain) / len(plain) / 3.0
        busiest = max(h.sent + h.received for h in sim.hosts.values()) / 3.0
        return handled, busiest

    small, _ = rates(60, 3)
    large, busiest = rates(180, 3)
    assert large <= 1.5 * small
    assert busiest <= 400


def test_a_heartbeat_of_an_earlier_incarnation_changes_nothing():
    sim = FleetSim(30, 3)
    sim.run(1.0)
    host = sim.hosts["host-0"]
    old = sim.hosts["host-1"].heartbeat(sim.now)
    sim.run(2.0)
    sim.kill("host-1")
    sim.start("host-1", boot="2")
    sim.run(2.0)
    host.receive_heartbeat(sim.now, old, age_s=4.0)
    assert host.tracker.latest["host-1"].heartbeat.boot == "2"


@pytest.mark.parametrize("changes_per_s", [0, 3])
@pytest.mark.parametrize("hosts", [171, 390])
def test_answers_to_callers_wait_for_digests_no_longer_than_allowed(
    hosts, changes_per_s
):
    """Large Tiltbox: changes in series filled the forwarders' links with heartbeats."""
    sim = FleetSim(hosts, 5, link_bytes_per_s=LINK_BYTES_PER_S, prefix="front-kolkata")
    sim.run(4.0)
    for host in sim.hosts.values():
        host.longest_wait_s = 0.0
        host.records = RECORD_HOSTS
    for step in range(40):
        for host in sim.hosts.values():
            host.plan_version = 1 + step * changes_per_s // 10
            host.admit(sim.random)
        sim.run(0.1)
    assert max(host.longest_wait_s for host in sim.hosts.values()) <= MAX_ANSWER_DELAY_S


def test_a_host_ignores_its_own_heartbeat_in_a_digest():
    sim = FleetSim(30, 3)
    sim.run(2.0)
    assert all(name not in host.tracker.latest for name, host in sim.hosts.items())


def test_a_host_that_sends_no_heartbeat_does_not_forward():
    sim = FleetSim(60, 3)
    for host in sim.hosts.values():
        dead = {f"dead-{n}": PeerAddress(f"dead-{n}", "dc-0", "x", 1) for n in range(9)}
        host.tracker.set_members(sim.now, {**host.tracker.members, **dead})
    sim.run(6.0)
    assert len(forwarders(sim)) == 6


def test_heartbeats_in_digests_are_counted_by_what_changed():
    sim = FleetSim(30, 3)
    forwarder = next(host for host in sim.hosts.values() if host.router.forwards)
    sim.run(4.0)
    counted = count_heartbeats("admitted")
    for host in sim.hosts.values():
        host.admitted = {"team": TeamCount(1, 0)}
    sim.run(1.0)
    assert count_heartbeats("admitted") >= counted + len(sim.hosts)
    assert count_heartbeats("refresh") >= len(forwarder.tracker.latest)


def count_heartbeats(changed):
    counts = {labels["changed"]: n for labels, n in DIGEST_HEARTBEATS.get_all()}
    return counts.get(changed, 0)


def test_each_field_of_a_heartbeat_is_compared_or_known_not_to_be():
    not_compared = {"host", "age_s", "in_flight", "has_all_teams"}
    assert set(STATE_FIELDS) == set(Heartbeat._fields) - not_compared
    assert set(USE_FIELDS) < set(STATE_FIELDS)


def test_a_host_that_starts_makes_forwarders_send_all_heartbeats_to_it_alone():
    """Large Tiltbox: restarts one after the other filled the forwarders' links."""
    sim = FleetSim(100, 5)
    sim.run(4.0)
    forwarder = next(host for host in sim.hosts.values() if host.router.forwards)
    started = next(
        name
        for name, host in sim.hosts.items()
        if not host.router.forwards and forwarder.tracker.is_near(host.cfg)
    )
    sim.kill(started)
    sim.start(started, boot="2")
    forwarder.receive(sim.now, sim.hosts[started].heartbeat(sim.now))
    sizes = {
        name: len(digest.heartbeats)
        for names, digest in sent_by(forwarder, sim.now)
        if not digest.inter_data_centre
        for name in names
    }
    assert sizes.pop(started) == 100
    assert set(sizes.values()) == {1 + math.ceil(100 / FULL_EVERY)}


def heartbeats_of(hosts, **changes):
    heartbeats = [heartbeat_of(f"host-{n}", "dc-0") for n in range(hosts)]
    return [heartbeat._replace(**changes) for heartbeat in heartbeats]


def sent_on(selection, heartbeats):
    """Returns the hosts whose heartbeats a digest for one host has."""
    digest = Digest("dc-0", False, heartbeats, {}, {}, [])
    [(_, sent)] = selection.divide(digest, ["host"], ())
    return [heartbeat.host for heartbeat in sent.heartbeats]


@pytest.mark.parametrize(
    ("changes", "expected"),
    [
        ({}, 0),
        ({"plan_version": 7, "plan_key": "k", "plan_bytes": 9}, 1),
        ({"targets_revision": 7}, 1),
        ({"has_all_teams": False}, 0),
        ({"admitted": {"team": TeamCount(1, 0)}}, 80),
        ({"draining": True}, 80),
    ],
)
def test_heartbeats_that_state_nothing_new_are_sent_on_a_part_at_a_time(
    changes, expected
):
    """Large Tiltbox: each new version was sent on once for each of 171 hosts."""
    selection = HeartbeatFilter()
    assert len(sent_on(selection, heartbeats_of(80))) == 80
    later = heartbeats_of(80, **changes)
    refreshed = 10 if expected < 80 else 0
    assert len(sent_on(selection, later)) == expected + refreshed
    assert len(sent_on(selection, later)) == 10


def test_each_heartbeat_is_sent_on_again_while_others_change():
    selection = HeartbeatFilter()
    assert len(sent_on(selection, heartbeats_of(80))) == 80
    seen = set()
    for count in range(FULL_EVERY):
        changed = heartbeats_of(40, admitted={"team": TeamCount(count, 0)})
        seen |= set(sent_on(selection, changed + heartbeats_of(80)[40:]))
    assert len(seen) == 80


def test_a_host_that_was_out_of_contact_is_sent_on_at_once():
    selection = HeartbeatFilter()
    for hosts in (80, 79, 79):
        sent_on(selection, heartbeats_of(hosts))
    assert "host-79" in sent_on(selection, heartbeats_of(80))


def sent_by(forwarder, now):
    return [
        (names, message)
        for names, message in forwarder.send(now)
        if isinstance(message, Digest)
    ]
