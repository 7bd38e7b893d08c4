"""Admission at the home host that counts a team for the whole fleet."""

import asyncio
import time
from types import SimpleNamespace

import pytest

from magnoliaroad.relay import team_limiter
from magnoliaroad.relay.plan import RelayTeam
from magnoliaroad.relay.quota import TeamTokenBuckets
from magnoliaroad.relay.settings import QuotaSettings
from magnoliaroad.relay.team_limiter import ASK_S, TeamLimiter
from magnoliaroad.rendezvous import highest_ranked
from tests.fakes.peers import PeerNetwork

TEAM = RelayTeam("small", rate=0.001, burst=16.0)
NAMES = [f"host-{n}" for n in range(5)]
HOME = highest_ranked(TEAM.name, NAMES)
OTHERS = [name for name in NAMES if name != HOME]


class Host:
    def __init__(self, network, name):
        self.teams = {TEAM.name: TEAM}
        self.plans = SimpleNamespace(find_team=self.teams.get)
        self.quota = TeamTokenBuckets(
            QuotaSettings(start_burst=1.0), time.monotonic(), self.teams.get
        )
        self.peers = network.join(name)
        self.hosts = list(NAMES)
        self.limiter = TeamLimiter(
            name, self.peers, self.plans, self.quota, lambda: self.hosts
        )

    async def admit(self, new_program=False):
        return await self.limiter.admit(TEAM, new_program)


@pytest.fixture
def network():
    return PeerNetwork()


@pytest.fixture
def hosts(network):
    return {name: Host(network, name) for name in NAMES}


async def test_the_fleet_admits_the_burst_and_no_more(hosts):
    passed = 0
    for _ in range(12):
        for host in hosts.values():
            decision = await host.admit()
            passed += not decision.wait_s
    assert TEAM.burst <= passed <= TEAM.burst + QuotaSettings().slack
    assert hosts[HOME].quota.count(TEAM.name).admitted == passed


async def test_a_team_within_its_burst_is_not_refused_wherever_it_comes(hosts):
    decisions = [await hosts[OTHERS[n % 4]].admit() for n in range(int(TEAM.burst))]
    assert [decision.wait_s for decision in decisions] == [0.0] * int(TEAM.burst)


async def test_an_admission_costs_one_message(hosts):
    for name in OTHERS:
        await hosts[name].admit()
    assert [hosts[name].peers.sent for name in OTHERS] == [{"AdmitAsk": 1}] * 4
    assert hosts[HOME].peers.sent == {}


async def test_a_refusal_reports_the_state_of_the_bucket(hosts):
    decision = await hosts[OTHERS[0]].admit()
    while not decision.wait_s:
        decision = await hosts[OTHERS[0]].admit()
    assert decision.host == HOME
    assert {"tokens", "lately", "hosts"} <= decision.bucket_state.keys()


async def test_a_request_that_was_not_sent_gives_its_token_back(hosts):
    for name in (OTHERS[0], HOME):
        decision = await hosts[name].admit()
        hosts[name].limiter.refund(TEAM, decision)
    await asyncio.sleep(0.05)
    assert hosts[HOME].quota.count(TEAM.name).admitted == 0


async def test_without_the_home_host_a_host_decides_itself(hosts, network):
    other = hosts[OTHERS[0]]
    other.quota.merge_peer_counts(time.monotonic(), HOME, "boot", {}, fresh=True)
    network.crash(HOME)
    began = time.monotonic()
    passed = sum([not (await other.admit()).wait_s for _ in range(4)])
    assert passed == 4
    assert time.monotonic() - began < 4 * (ASK_S + 0.1)


async def test_hosts_that_cannot_reach_the_home_host_stay_within_the_limit(
    hosts, network, monkeypatch
):
    """The users tolerate a tenth and 20 requests beyond the limit."""
    monkeypatch.setattr(team_limiter, "ASK_S", 0.01)
    network.crash(HOME)
    passed = 0
    for _ in range(3):
        for name in OTHERS:
            now = time.monotonic()
            for other in OTHERS:
                if other != name:
                    counts = hosts[other].quota.counts()
                    hosts[name].quota.merge_peer_counts(
                        now, other, other, counts, fresh=True
                    )
            passed += sum([not (await hosts[name].admit()).wait_s for _ in range(6)])
    assert passed <= TEAM.burst * 1.1 + 20


async def test_a_team_unknown_to_its_home_host_is_counted_here(hosts):
    hosts[HOME].teams.clear()
    decision = await hosts[OTHERS[0]].admit()
    assert (decision.wait_s, decision.host) == (0.0, OTHERS[0])


async def test_the_next_home_host_continues_from_the_counts(hosts):
    for _ in range(int(TEAM.burst)):
        await hosts[OTHERS[0]].admit()
    rest = [name for name in NAMES if name != HOME]
    counts = hosts[HOME].quota.counts()
    for name in rest:
        hosts[name].hosts = rest
        hosts[name].quota.merge_peer_counts(
            time.monotonic(), HOME, "boot", {}, fresh=True
        )
        hosts[name].quota.merge_peer_counts(
            time.monotonic(), HOME, "boot", counts, fresh=True
        )
    passed = sum([not (await hosts[rest[0]].admit()).wait_s for _ in range(40)])
    assert passed <= QuotaSettings().slack


async def test_a_team_without_a_limit_costs_no_message(hosts):
    unlimited = RelayTeam("free", rate=0.0, burst=0.0)
    decision = await hosts[OTHERS[0]].limiter.admit(unlimited, True)
    assert decision.wait_s == 0.0
    assert hosts[OTHERS[0]].peers.sent == {}
