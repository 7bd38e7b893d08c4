import asyncio

import pytest
from pytest_bdd import given, parsers, scenarios, then, when
from returns.pipeline import is_successful

from magnoliaroad.quarantine import (
    BlocklistWatcher,
    QuarantineService,
    QuarantineSettings,
)
from magnoliaroad.quarantine.entry import cleared
from magnoliaroad.quarantine.stored_list import save_entries
from magnoliaroad.standins.faults import StoreFaults
from magnoliaroad.standins.kv_state import KvState
from magnoliaroad.standins.local_store import LocalStore
from magnoliaroad.targets import RequestEnd
from tests.fakes import PeerNetwork, VirtualTimeLoop

HOSTS = ("a", "b", "c")
REQUESTS = ("P", "A", "B", "C", "D")
LATER_S = 5.0


class Fleet:
    """Three hosts in virtual time that share a store and a detector."""

    def __init__(self) -> None:
        self.cfg = QuarantineSettings(block_s=60.0)
        self.loop = VirtualTimeLoop()
        self.network = PeerNetwork()
        self.store = LocalStore(KvState(), self.loop.time)
        self.hosts = {
            host: QuarantineService(
                self.cfg,
                host,
                self.network.join(host),
                self.store,
                lambda: [HOSTS[0]],
                lambda host=host: [name for name in HOSTS if name != host],
                self.loop.time,
            )
            for host in HOSTS
        }
        for host in self.hosts.values():
            self.run(host.start())
            watcher = BlocklistWatcher(
                self.store, self.cfg.watch_s, host.merge_decisions
            )
            self.run(host.add_runtime_dependency(watcher))

    def run(self, coro):
        return self.loop.run_until_complete(coro)

    def wait(self, seconds: float = LATER_S) -> None:
        self.run(asyncio.sleep(seconds))

    def lose(self, host: str, target: str, requests: str) -> None:
        for request in requests.split():
            self.hosts[host].request_started(target, request)
        for request in requests.split():
            self.hosts[host].request_ended(target, request, RequestEnd.LOST)

    def end_well(self, host: str, requests: str) -> None:
        self.run(self._end_well(host, requests))

    async def _end_well(self, host: str, requests: str) -> None:
        for request in requests.split():
            self.hosts[host].request_started("t3", request)
            self.hosts[host].request_ended("t3", request, RequestEnd.COMPLETED)

    def blocked(self, host: str) -> set[str]:
        checks = {r: self.hosts[host].check(r) for r in REQUESTS}
        return {r for r, check in checks.items() if not is_successful(check)}


@pytest.fixture
def fleet():
    fleet = Fleet()
    yield fleet
    for host in fleet.hosts.values():
        fleet.run(host.stop())
    fleet.loop.close()


scenarios("poison.feature")


@given("three hosts")
def _three_hosts(fleet):
    assert fleet.blocked("a") == set()


@given(parsers.re('the requests "(?P<requests>.*)" have ended well at host "a"'))
def _completed(fleet, requests):
    fleet.end_well("a", requests)


@when(
    parsers.re(
        'target "(?P<target>.*)" crashes with "(?P<first>.*)" at host "(?P<one>.)"'
        ' and "(?P<second>.*)" at host "(?P<two>.)"'
    )
)
def _crash(fleet, target, first, one, second, two):
    fleet.lose(one, target, first)
    fleet.wait(0.1)
    fleet.lose(two, target, second)
    fleet.wait()


@when(parsers.parse('"{request}" ends well at host "{host}"'))
def _ends_well(fleet, request, host):
    fleet.end_well(host, request)
    fleet.wait()


@when("its time is over")
def _time_over(fleet):
    fleet.wait(fleet.cfg.block_s)


@when(parsers.parse('an operator clears "{request}"'))
def _clear(fleet, request):
    now = fleet.loop.time()
    entry = cleared(request, now, fleet.cfg.block_s)
    fleet.run(save_entries(fleet.store, [entry], now))
    fleet.wait()


@when(parsers.parse('host "{host}" hears no other host'))
def _cut_incoming(fleet, host):
    fleet.network.wire.cut(HOSTS, [host], both=False)


@when("the store is down")
def _store_down(fleet):
    fleet.store.faults = StoreFaults(down=True)


@then(parsers.re('the hosts block "(?P<requests>.*)" and nothing else'))
def _blocked(fleet, requests):
    for host in HOSTS:
        assert fleet.blocked(host) == set(requests.split()), host


@then(parsers.parse('"{one}" and "{other}" run one at a time'))
def _alone(fleet, one, other):
    host = fleet.hosts["b"]
    assert is_successful(host.check(one))
    host.request_started("t1", one)
    assert host.check(other).failure().code == "suspect_waits"
    host.request_ended("t1", one, RequestEnd.UNKNOWN)
    assert is_successful(host.check(other))
