import copy

import pytest
from pytest_bdd import given, parsers, then, when

from magnoliaroad.config.head import HEAD_KEY, unpack_head
from magnoliaroad.config.topology import choose_watchers
from tests.config.fleet import Fleet, with_rate
from tests.fakes import WireFaults


@pytest.fixture
def fleets(tmp_path):
    started = []

    def start(names, with_folder):
        fleet = Fleet([], folder=tmp_path)
        started.append(fleet)
        fleet.served_revisions = dict.fromkeys(names, 0)
        for name in names:
            fleet.start(name, with_folder)
        fleet.with_folder = with_folder
        return fleet

    yield start
    for fleet in started:
        fleet.close()


HOSTS = (
    r"hosts (?P<names>[a-c\d ]+?)(?P<kept> with a data folder)?"
    r" at revision (?P<revision>\d+)"
)


@given(parsers.re(HOSTS), target_fixture="fleet")
def _fleet(fleets, names, kept, revision):
    fleet = fleets(names.split(), bool(kept))
    fleet.states = {}
    for number in range(1, int(revision) + 1):
        fleet.write(with_rate(float(number)))
        fleet.states[number] = copy.deepcopy(fleet.state)
        fleet.sleep(3.0)
    return fleet


@when("nothing fails")
def _no_failure(fleet):
    return


@when("each fifth message is lost")
def _lose_messages(fleet):
    fleet.network.wire.faults = WireFaults(drop=0.2, duplicate=0.2)


@when(parsers.parse("the store answers after {delay_s:g} seconds"))
def _delay_store(fleet, delay_s):
    fleet.set_store_faults(delay_s=delay_s)


@when("the watchers of all data centres but one crash")
def _crash_watchers(fleet):
    for names in (["b1", "b2", "b3"], ["c1", "c2", "c3"]):
        for name in choose_watchers(names, 2):
            fleet.crash(name)


@when("the hosts' watches go silent")
def _hang_watches(fleet):
    for host in fleet.live.values():
        host.store.hang_open_watches()
    fleet.sleep(0.1)


@when(parsers.parse("data centre {name} is cut off from the store"))
def _cut_from_store(fleet, name):
    fleet.set_store_faults(name, down=True)


@when(parsers.parse("data centre {name} is cut off from everything"))
def _cut_from_all(fleet, name):
    _cut_from_store(fleet, name)
    inside = [n for n in fleet.live if n[0] == name]
    fleet.network.wire.cut(inside, set(fleet.live) - set(inside))


@when("the cut ends")
def _end_cut(fleet):
    fleet.network.wire.heal()
    fleet.set_store_faults()


@when(parsers.parse("revision {revision:d} is accepted and told to {told}"))
def _accept(fleet, revision, told):
    accepted = fleet.write(with_rate(float(revision)))
    assert accepted.head.revision == revision
    if told != "nobody":
        fleet.send_accepted(accepted, told)


@when("the store goes down")
def _store_down(fleet):
    fleet.set_store_faults(down=True)


@when("the store comes back")
def _store_up(fleet):
    fleet.set_store_faults()


@when("the store answers with stale data")
def _stale_store(fleet):
    fleet.set_store_faults(stale=True)


@when(parsers.parse("the store is set back to revision {revision:d}"))
def _set_store_back(fleet, revision):
    fleet.state.__dict__.update(fleet.states[revision].__dict__)


@when(parsers.parse("the hosts lose the store and it is set back to revision {n:d}"))
def _lose_and_set_store_back(fleet, n):
    fleet.set_store_faults(down=True)
    _set_store_back(fleet, n)


@when(parsers.parse("a revision above {revision:d} is accepted"))
def _accept_above(fleet, revision):
    fleet.write(with_rate(9.0), above=revision)


@when(parsers.parse("host {name} crashes and starts again"))
def _restart(fleet, name):
    fleet.crash(name)
    fleet.start(name, fleet.with_folder)


@when(parsers.parse("{seconds:d} seconds pass"))
def _wait(fleet, seconds):
    fleet.sleep(float(seconds))


@then(parsers.parse("revision {revision:d} is in force on all hosts"))
def _in_force_everywhere(fleet, revision):
    assert fleet.revisions() == dict.fromkeys(fleet.live, revision)
    assert not fleet.reverts


@then(parsers.re(r"revision (?P<revision>\d+) is in force on (?P<names>[a-c]\d.*)"))
def _in_force_on(fleet, revision, names):
    found = {name: fleet.revisions()[name] for name in names.split()}
    assert found == dict.fromkeys(names.split(), int(revision))


@then("no host has gone back")
def _no_reverts(fleet):
    assert fleet.reverts == []


@then(parsers.parse('host {name} refuses keys with "{code}"'))
def _refuses(fleet, name, code):
    assert fleet.refusal_code(name) == code


@then(parsers.parse("the store holds revision {revision:d}"))
def _store_holds(fleet, revision):
    assert unpack_head(fleet.state.get(HEAD_KEY).value).revision == revision
