"""Admissions that hosts tell each other between their beats."""

import asyncio
import time
from types import SimpleNamespace

import pytest

from magnoliaroad.relay.plan import RelayTeam
from magnoliaroad.relay.quota import QuotaBook
from magnoliaroad.relay.settings import QuotaSettings
from magnoliaroad.relay.team_teller import TeamTeller
from tests.fakes.peers import PeerNetwork

TEAM = RelayTeam("small", rate=0.001, burst=16.0)
NAMES = [f"host-{n}" for n in range(5)]


class Host:
    def __init__(self, network, name, contact):
        plan = SimpleNamespace(teams={TEAM.name: TEAM})
        self.book = QuotaBook(QuotaSettings(start_burst=1.0), time.monotonic())
        self.teller = TeamTeller(
            name,
            f"boot-{name}",
            network.join(name),
            SimpleNamespace(plan=plan),
            self.book,
            lambda: NAMES,
            lambda: [other for other in NAMES if other != name],
            contact.__contains__,
        )
        for other in NAMES:
            if other != name:
                self.book.heard(0.0, other, f"boot-{other}", {}, fresh=True)

    def admit(self):
        if self.book.admit(time.monotonic(), TEAM):
            return False
        self.teller.admitted(TEAM.name)
        return True


@pytest.fixture
def contact():
    return set(NAMES)


@pytest.fixture
def hosts(contact):
    network = PeerNetwork()
    return [Host(network, name, contact) for name in NAMES]


async def test_all_hosts_hear_of_a_team_near_its_limit_before_any_beat(hosts):
    admitted = 0
    for _ in range(8):
        admitted += sum(host.admit() for host in hosts)
        await asyncio.sleep(0.15)
    most = TEAM.burst + QuotaSettings().slack + len(hosts)
    assert TEAM.burst <= admitted <= most
    for host in hosts:
        total = host.book.count(TEAM.name).admitted + sum(
            count.admitted for _, count in host.book.counts_of(TEAM.name).values()
        )
        assert total == admitted


async def test_a_team_far_from_its_limit_costs_one_message_an_admission(hosts):
    assert all(host.admit() for host in hosts[:3])
    await asyncio.sleep(0.15)
    heard = [host for host in hosts if host.book.counts_of(TEAM.name)]
    assert len(heard) == 1


async def test_a_peer_that_is_not_heard_changes_nothing(hosts, contact):
    contact.clear()
    for host in hosts:
        host.admit()
    await asyncio.sleep(0.15)
    assert not any(host.book.counts_of(TEAM.name) for host in hosts)
