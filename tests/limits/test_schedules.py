"""Checks that no schedule of failures lets a team exceed its rate and burst.

A team exceeds them when two hosts use the same share, for example under an old and
a new table, or when a loan or a store write takes effect twice.
"""

import random

from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from magnoliaroad.config import Team
from magnoliaroad.limits import LimitSettings
from tests.fakes import WireFaults
from tests.fakes.limit_hosts import Arrival, LimitHosts, worst_excess

TEAM = Team("arcades", rate=8.0, burst=6.0)
LAYOUT = {"a": ["a1", "a2"], "b": ["b1", "b2"], "c": ["c1"]}
HOSTS = [host for hosts in LAYOUT.values() for host in hosts]
CFG = LimitSettings(
    right_s=3.0, confirm_interval_s=0.4, absence_s=0.5, settle_s=0.5, drift=0.01
)
WIRE = WireFaults(0.001, 0.08, drop=0.1, duplicate=0.2)
EXACT = 1e-6


def others(name):
    return [host for host in HOSTS if host != name]


def cut_data_centre(fleet, place):
    inside = LAYOUT[place]
    fleet.wire.cut(inside, [h for h in HOSTS if h not in inside] + ["store"])


def cut_host(fleet, name):
    fleet.wire.cut([name], [*others(name), "store"])
    fleet.unlist({name})


def cut_outgoing(fleet, name):
    fleet.wire.cut([name], [*others(name), "store"], both=False)


def heal(fleet):
    fleet.wire.heal()
    fleet.unlist(set())


def end(fleet, name):
    if name in fleet.processes:
        fleet.end(name)


def crash_while_listed(fleet, name):
    if name in fleet.processes:
        fleet.end(name, listed=False)


def restart(fleet, name):
    end(fleet, name)
    fleet.start(name)


def pause(fleet, name, seconds):
    if name in fleet.processes:
        fleet.pause(name, fleet.now + seconds)
        fleet.unlist({name})


def stop(fleet, name):
    running = fleet.processes.get(name)
    if running:
        running.protocol.stop(running.clock(fleet.now))


def set_rate(fleet, rate):
    fleet.set_team(TEAM._replace(rate=rate))


hosts = st.sampled_from(HOSTS)
places = st.sampled_from(sorted(LAYOUT))
EVENTS = {
    "end": hosts.map(lambda host: (end, host)),
    "crash_while_listed": hosts.map(lambda host: (crash_while_listed, host)),
    "restart": hosts.map(lambda host: (restart, host)),
    "pause": st.tuples(hosts, st.sampled_from([0.4, 2.0, 5.0])).map(
        lambda pair: (pause, *pair)
    ),
    "cut": places.map(lambda place: (cut_data_centre, place)),
    "cut_host": hosts.map(lambda host: (cut_host, host)),
    "cut_outgoing": hosts.map(lambda host: (cut_outgoing, host)),
    "cut_store": hosts.map(lambda host: (LimitHosts.cut_store, host)),
    "heal": st.just((heal,)),
    "store_down": st.booleans().map(lambda on: (LimitHosts.set_store_down, on)),
    "lose_answers": st.booleans().map(lambda on: (LimitHosts.set_lose_answers, on)),
    "reshape": st.sampled_from([4.0, 8.0]).map(lambda rate: (set_rate, rate)),
    "stop": hosts.map(lambda host: (stop, host)),
    "lapse": hosts.map(lambda host: (LimitHosts.unlist, {host})),
}
events = st.one_of(*EVENTS.values())
schedules = st.lists(
    st.tuples(st.sampled_from([0.1, 0.7, 1.5, 4.0]), events), min_size=2, max_size=8
)


def flood(rng, start, count):
    return [
        Arrival(start + rng.random() * 0.2, rng.choice(HOSTS), TEAM.name)
        for _ in range(count)
    ]


def run_watched(fleet, until, arrivals):
    arrivals = sorted(arrivals)
    while fleet.now < until:
        step = min(until, fleet.now + 0.1)
        fleet.run(step, [a for a in arrivals if a.at <= fleet.now + 0.1])
        arrivals = [a for a in arrivals if a.at > fleet.now]
        tokens, fraction = fleet.spendable(TEAM.name)
        assert tokens <= TEAM.burst + EXACT, f"{tokens} tokens at {fleet.now}"
        assert fraction <= 1.0 + EXACT, f"{fraction} in use at {fleet.now}"


@settings(
    max_examples=40,
    derandomize=True,
    deadline=None,
    suppress_health_check=list(HealthCheck),
)
@given(schedule=schedules, seed=st.integers(0, 99))
def test_no_window_holds_more_than_rate_and_burst(schedule, seed):
    rng = random.Random(seed)
    fleet = LimitHosts(LAYOUT, [TEAM], seed, CFG, drift=CFG.drift / 2)
    fleet.run(12.0)
    fleet.wire.faults = WIRE
    for pause_s, event in [*schedule, (5.0, (heal,))]:
        event[0](fleet, *event[1:])
        count = rng.choice([0, 1, 30])
        run_watched(fleet, fleet.now + pause_s, flood(rng, fleet.now, count))
    times = [result.at for result in fleet.results if result.admitted]
    assert worst_excess(times, TEAM.rate, TEAM.burst) <= EXACT


def test_fleet_comes_back_to_whole_shares_after_failures():
    fleet = LimitHosts(LAYOUT, [TEAM], 5, CFG)
    fleet.run(20.0)
    fleet.wire.cut(["a1"], [*HOSTS[1:], "store"])
    fleet.run(30.0)
    fleet.wire.heal()
    fleet.end("b1")
    fleet.start("b1")
    fleet.run(60.0)
    held = sum(fleet.host_fraction(host, TEAM.name) for host in HOSTS)
    assert abs(held - 1.0) < EXACT
