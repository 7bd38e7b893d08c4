"""The rate of a cold target over all hosts, in virtual time."""

import asyncio

import pytest

from magnoliaroad.relay.plan import RelayService
from magnoliaroad.rendezvous import highest_ranked
from tests.fakes.loop import VirtualTimeLoop
from tests.relay.test_target_limiter import HOME, NAMES, TARGET, Fleet

RATE = 21.0
# The rule: most requests that a cold target may get in any one second.
MOST_IN_SECOND = RATE * 1.5 + 5
SERVICE = RelayService("lm", "/health", 100, cold_s=30.0, cold_rate=RATE)


class ColdFleet(Fleet):
    """Hosts that all send their requests to a target that has just come back."""

    service = SERVICE

    def table(self):
        table = super().table()
        table.cold.record_entry(TARGET._replace(cold_s=20.0), 0.0)
        return table

    def most_in_second(self):
        sent = sorted(self.sent_at)
        return max(sum(0 <= at - first < 1.0 for at in sent) for first in sent)


class LargeColdFleet(ColdFleet):
    """So many hosts that the part of each is less than a request a second."""

    names = tuple(f"host-{n}" for n in range(60))


LARGE_HOME = highest_ranked("target i-1", LargeColdFleet.names)


@pytest.fixture
def loop():
    loop = VirtualTimeLoop()
    yield loop
    loop.close()


@pytest.fixture
def fleet(loop):
    fleet = ColdFleet(loop)
    fleet.rate = None
    return fleet


def test_all_hosts_together_keep_the_rate_of_a_cold_target(loop, fleet):
    """Guards against a data centre that comes back and is ended by its first load."""
    loop.run_until_complete(fleet.run(4.0))
    assert fleet.most_in_second() <= MOST_IN_SECOND
    assert len(fleet.sent_at) >= 0.8 * 4.0 * RATE


def test_the_rate_holds_while_the_home_host_is_down(loop, fleet):
    fleet.down = {HOME}
    loop.run_until_complete(fleet.run(4.0))
    assert fleet.most_in_second() <= MOST_IN_SECOND
    assert fleet.sent_at


def test_the_rate_holds_on_both_sides_of_a_cut(loop, fleet):
    """Guards against each side taking the whole rate."""
    fleet.cut = set(NAMES[:4])
    fleet.network.wire.cut(NAMES[:4], NAMES[4:])
    loop.run_until_complete(fleet.run(4.0))
    assert fleet.most_in_second() <= MOST_IN_SECOND


def test_the_rate_holds_while_the_home_host_is_cut_off_again_and_again(loop):
    """Guards against parts that hosts have saved since the last cut."""
    fleet = LargeColdFleet(loop)
    fleet.rate = None
    others = set(fleet.names) - {LARGE_HOME}

    async def cut_off():
        for _ in range(4):
            await asyncio.sleep(1.5)
            fleet.network.wire.cut({LARGE_HOME}, others)
            await asyncio.sleep(0.7)
            fleet.network.wire.heal()

    loop.run_until_complete(fleet.run(10.0, cut_off()))
    assert fleet.most_in_second() <= MOST_IN_SECOND


def test_hosts_without_a_home_host_do_not_send_all_at_once(loop):
    """Guards against parts of a request each that fill at all hosts together."""
    fleet = LargeColdFleet(loop)
    fleet.rate = None

    async def crash():
        await asyncio.sleep(2.0)
        fleet.network.crash(LARGE_HOME)

    loop.run_until_complete(fleet.run(12.0, crash()))
    late = [at for at in fleet.sent_at if at > 3.0]
    assert fleet.most_in_second() <= MOST_IN_SECOND
    assert len(late) >= 0.2 * RATE * 9.0


def test_a_stated_limit_that_is_lower_holds_for_a_cold_target(loop, fleet):
    fleet.rate = 4.0
    loop.run_until_complete(fleet.run(6.0))
    late = [at for at in fleet.sent_at if at >= 3.0]
    assert len(late) <= 1.5 * 3.0 * 4.0 + 5


def test_a_warm_target_gets_all_requests_without_a_message(loop, fleet):
    for limiter in fleet.limiters.values():
        limiter._table.cold.record_entry(TARGET, 0.0)
    loop.run_until_complete(fleet.run(1.0))
    assert not any(peers.sent for peers in fleet.network.hosts.values())
    assert len(fleet.sent_at) > 9 * 15


def test_a_home_host_without_the_configuration_does_not_admit_all(loop, fleet):
    """Guards against a home host that has just started and knows no rate."""
    fleet.limiters[HOME]._cold_rates._find_service = lambda name: None
    fleet.send_all = lambda name, seconds: (
        asyncio.sleep(0) if name == HOME else Fleet.send_all(fleet, name, seconds)
    )
    loop.run_until_complete(fleet.run(4.0))
    assert 0 < fleet.most_in_second() <= MOST_IN_SECOND


def test_a_home_host_that_has_not_read_the_entry_keeps_the_lower_rate(loop, fleet):
    """Guards against a stated limit that hides from it that the target is cold."""
    fleet.rate = 4 * RATE
    for limiter in fleet.limiters.values():
        limiter.record_answer(TARGET, fleet.rate, 0.0)
    fleet.limiters[HOME]._table.cold.record_entry(TARGET, 0.0)
    fleet.send_all = lambda name, seconds: (
        asyncio.sleep(0) if name == HOME else Fleet.send_all(fleet, name, seconds)
    )
    loop.run_until_complete(fleet.run(4.0))
    assert fleet.most_in_second() <= MOST_IN_SECOND
