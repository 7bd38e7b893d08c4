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

DATA_CENTRES = {"a": ["a-1", "a-2", "a-3"], "b": ["b-1", "b-2", "b-3"]}


class Platform:
    """The platform's list, and the number of reads by each host."""

    def __init__(self):
        self.listed = PlatformList({"a-1": ListedState.LIVE}, {})
        self.reads = collections.Counter()

    def host_list(self, name):
        return FakeHostList(self, name)


class FakeHostList(HostList):
    def __init__(self, platform, name):
        self.platform, self.name = platform, name

    async def read(self):
        self.platform.reads[self.name] += 1
        if self.platform.listed is None:
            raise HostListError("down")
        return self.platform.listed

    async def close(self):
        return


class CountingStore(LocalStore):
    """Counts calls on the store, a watch as one; can be made unreachable.

    ``calls`` and ``down`` are shared by all hosts; ``reachable`` is of one host.
    """

    calls = 0
    down = False

    def __init__(self, *args):
        super().__init__(*args)
        self.reachable = True
        self._watching = set()

    async def watch(self, prefix, after, limit_s=None):
        CountingStore.calls += 1
        self._watching.add(asyncio.current_task())
        try:
            return await super().watch(prefix, after, limit_s)
        finally:
            self._watching.discard(asyncio.current_task())

    async def _run(self, operation):
        CountingStore.calls += asyncio.current_task() not in self._watching
        if not self.reachable or CountingStore.down:
            raise StoreUnavailable("no answer")
        return await super()._run(operation)


class Fleet:
    def __init__(self):
        self.loop = VirtualTimeLoop()
        self.network = PeerNetwork()
        self.state = KvState()
        self.platform = Platform()
        self.stores, self.hosts = {}, {}
        self.starts = 0
        CountingStore.calls, CountingStore.down = 0, False

    def start(self, name):
        self.starts += 1
        data_centre = name[0]
        record = HostRecord(name, data_centre, "127.0.0.1", 1, 2, f"run-{self.starts}")
        store = CountingStore(self.state, self.loop.time)
        self.stores[name] = store
        self.hosts[name] = MembershipService(
            MembershipSettings(),
            record,
            store,
            self.network.join(name, data_centre),
            self.platform.host_list(name),
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
def _start_six_hosts(fleet):
    for names in DATA_CENTRES.values():
        for name in names:
            fleet.start(name)
    fleet.run(5.0)


@when("a host joins")
def _host_joins(fleet):
    fleet.start("a-4")


@when(parsers.parse("{s:d} s go by"))
def _wait(fleet, s):
    fleet.calls_before = CountingStore.calls
    fleet.run(s)
    fleet.calls_per_s = (CountingStore.calls - fleet.calls_before) / s


@when(parsers.parse('host "{name}" crashes'))
def _host_crashes(fleet, name):
    fleet.crash(name)


@when(parsers.parse('host "{name}" restarts'))
def _host_restarts(fleet, name):
    fleet.crash(name)
    fleet.start(name)


@when(parsers.parse('host "{name}" is not heard any more'))
def _host_is_unreachable(fleet, name):
    others = [host for host in fleet.hosts if host != name]
    fleet.network.wire.cut([name], others, both=False)
    fleet.stores[name].reachable = False


@when(parsers.parse('the platform lists {kind} "{name}" as leaving'))
def _list_as_leaving(fleet, kind, name):
    states = {**getattr(fleet.platform.listed, kind), name: ListedState.LEAVING}
    fleet.platform.listed = fleet.platform.listed._replace(**{kind: states})


@when("the store is down")
def _store_down(fleet):
    CountingStore.down = True


@when(parsers.parse('host "{name}" drains'))
def _host_drains(fleet, name):
    fleet.loop.run_until_complete(fleet.hosts[name].drain())


@when(parsers.parse('host "{name}" stops'))
def _host_stops(fleet, name):
    fleet.loop.run_until_complete(fleet.hosts.pop(name).stop())


@then(parsers.parse("every host knows {count:d} hosts"))
def _every_host_has(fleet, count):
    assert {len(host.hosts) for host in fleet.hosts.values()} == {count}


@then(parsers.parse('no host knows "{name}"'))
def _no_host_has(fleet, name):
    assert not any(name in host.hosts for host in fleet.hosts.values())


@then(parsers.parse('no other host knows "{name}"'))
def _no_other_host_has(fleet, name):
    others = [host for key, host in fleet.hosts.items() if key != name]
    assert not any(name in host.hosts for host in others)


@then("every host knows its new incarnation")
def _new_incarnation(fleet):
    incarnations = {host.hosts["a-3"].incarnation for host in fleet.hosts.values()}
    assert incarnations == {"run-7"}


@then(parsers.parse('every host leaves out {kind} "{name}"'))
def _every_host_leaves_out(fleet, kind, name):
    for host in fleet.hosts.values():
        assert name in getattr(host, f"leaving_{kind}")


@then("every host of its data centre knows it")
def _its_data_centre_has_it(fleet):
    for name in DATA_CENTRES["a"]:
        assert "a-4" in fleet.hosts[name].hosts


@then(parsers.parse('the store has no record of "{name}"'))
def _no_record(fleet, name):
    assert fleet.state.get(f"hosts/{name}") is None


@then(parsers.parse("{count:d} hosts of each data centre asked the platform"))
def _platform_readers(fleet, count):
    fleet.platform.reads.clear()
    fleet.run(10.0)
    asked = collections.Counter(name[0] for name in fleet.platform.reads)
    assert asked == dict.fromkeys(DATA_CENTRES, count)


@then(parsers.parse("the store was called less than {count:d} times a second"))
def _store_calls(fleet, count):
    assert fleet.calls_per_s < count
