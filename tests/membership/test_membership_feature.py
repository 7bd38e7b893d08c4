import asyncio
import collections

import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from magnoliaroad.membership import (
    HostList,
    HostListError,
    HostRecord,
    ListedState,
    MembershipService,
    PlatformList,
)
from magnoliaroad.membership.settings import MembershipSettings
from magnoliaroad.standins.kv_state import KvState
from magnoliaroad.standins.local_store import LocalStore
from magnoliaroad.store import StoreUnavailable
from tests.fakes import PeerNetwork, VirtualTimeLoop

scenarios("membership.feature")

PLACES = {"a": ["a-1", "a-2", "a-3"], "b": ["b-1", "b-2", "b-3"]}


class Platform:
    """The platform's list, and the number of reads by each host."""

    def __init__(self):
        self.listed = PlatformList({"a-1": ListedState.LIVE}, {})
        self.reads = collections.Counter()

    def list_of(self, name):
        return ListedTo(self, name)


class ListedTo(HostList):
    def __init__(self, platform, name):
        self.platform, self.name = platform, name

    async def read(self):
        self.platform.reads[self.name] += 1
        if self.platform.listed is None:
            raise HostListError("down")
        return self.platform.listed

    async def close(self):
        return


class CountedStore(LocalStore):
    """Counts calls on the store, a watch as one; can be made unreachable.

    ``calls`` and ``down`` are shared by all hosts; ``heard`` is of one host.
    """

    calls = 0
    down = False

    def __init__(self, *args):
        super().__init__(*args)
        self.heard = True
        self._watching = set()

    async def watch(self, prefix, after, limit_s=None):
        CountedStore.calls += 1
        self._watching.add(asyncio.current_task())
        try:
            return await super().watch(prefix, after, limit_s)
        finally:
            self._watching.discard(asyncio.current_task())

    async def _run(self, operation):
        CountedStore.calls += asyncio.current_task() not in self._watching
        if not self.heard or CountedStore.down:
            raise StoreUnavailable("no answer")
        return await super()._run(operation)


class Fleet:
    def __init__(self):
        self.loop = VirtualTimeLoop()
        self.network = PeerNetwork()
        self.state = KvState()
        self.platform = Platform()
        self.stores, self.hosts = {}, {}
        self.runs = 0
        CountedStore.calls, CountedStore.down = 0, False

    def start(self, name):
        self.runs += 1
        place = name[0]
        record = HostRecord(name, place, "127.0.0.1", 1, 2, f"run-{self.runs}")
        store = CountedStore(self.state, self.loop.time)
        self.stores[name] = store
        self.hosts[name] = MembershipService(
            MembershipSettings(),
            record,
            store,
            self.network.join(name, place),
            self.platform.list_of(name),
        )
        self.loop.run_until_complete(self.hosts[name].start())
        self.loop.run_until_complete(self.hosts[name].announce(record))

    def crash(self, name):
        self.network.crash(name)
        for task in self.hosts.pop(name)._futures:
            task.cancel()

    def run(self, seconds):
        self.loop.run_until_complete(asyncio.sleep(seconds))


@pytest.fixture
def fleet():
    fleet = Fleet()
    yield fleet
    for service in fleet.hosts.values():
        fleet.loop.run_until_complete(service.stop())
    fleet.loop.close()


@given("six hosts in two data centres")
def _six(fleet):
    for names in PLACES.values():
        for name in names:
            fleet.start(name)
    fleet.run(5.0)


@when("a host joins")
def _join(fleet):
    fleet.start("a-4")


@when(parsers.parse("{s:d} s go by"))
def _wait(fleet, s):
    fleet.calls_before = CountedStore.calls
    fleet.run(s)
    fleet.calls_per_s = (CountedStore.calls - fleet.calls_before) / s


@when(parsers.parse('host "{name}" crashes'))
def _crash(fleet, name):
    fleet.crash(name)


@when(parsers.parse('host "{name}" restarts'))
def _restart(fleet, name):
    fleet.crash(name)
    fleet.start(name)


@when(parsers.parse('host "{name}" is not heard any more'))
def _unheard(fleet, name):
    others = [host for host in fleet.hosts if host != name]
    fleet.network.wire.cut([name], others, both=False)
    fleet.stores[name].heard = False


@when(parsers.parse('the platform lists {kind} "{name}" as leaving'))
def _leaving(fleet, kind, name):
    states = {**getattr(fleet.platform.listed, kind), name: ListedState.LEAVING}
    fleet.platform.listed = fleet.platform.listed._replace(**{kind: states})


@when("the store is down")
def _store_down(fleet):
    CountedStore.down = True


@when(parsers.parse('host "{name}" drains'))
def _drain(fleet, name):
    fleet.loop.run_until_complete(fleet.hosts[name].drain())


@when(parsers.parse('host "{name}" stops'))
def _stop(fleet, name):
    fleet.loop.run_until_complete(fleet.hosts.pop(name).stop())


@then(parsers.parse("every host knows {count:d} hosts"))
def _knows(fleet, count):
    assert {len(host.hosts) for host in fleet.hosts.values()} == {count}


@then(parsers.parse('no host knows "{name}"'))
def _forgotten(fleet, name):
    assert not any(name in host.hosts for host in fleet.hosts.values())


@then(parsers.parse('no other host knows "{name}"'))
def _unknown(fleet, name):
    others = [host for key, host in fleet.hosts.items() if key != name]
    assert not any(name in host.hosts for host in others)


@then("every host knows its new incarnation")
def _new_incarnation(fleet):
    seen = {host.hosts["a-3"].incarnation for host in fleet.hosts.values()}
    assert seen == {"run-7"}


@then(parsers.parse('every host leaves out {kind} "{name}"'))
def _left_out(fleet, kind, name):
    for host in fleet.hosts.values():
        assert name in getattr(host, f"leaving_{kind}")


@then("every host of its data centre knows it")
def _found(fleet):
    for name in PLACES["a"]:
        assert "a-4" in fleet.hosts[name].hosts


@then(parsers.parse('the store has no record of "{name}"'))
def _no_record(fleet, name):
    assert fleet.state.get(f"hosts/{name}") is None


@then(parsers.parse("{count:d} hosts of each data centre asked the platform"))
def _few(fleet, count):
    fleet.platform.reads.clear()
    fleet.run(10.0)
    asked = collections.Counter(name[0] for name in fleet.platform.reads)
    assert asked == dict.fromkeys(PLACES, count)


@then(parsers.parse("the store was called less than {count:d} times a second"))
def _calls(fleet, count):
    assert fleet.calls_per_s < count
