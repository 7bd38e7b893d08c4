"""The limit of a target over all hosts, in virtual time."""

import asyncio
import random

import pytest

from magnoliaroad.relay.target import RelayTarget, TargetState
from magnoliaroad.relay.target_limit import FIRST_TRY, PROMPT_HELD
from magnoliaroad.relay.target_limit_messages import TargetAdmissionRequest
from magnoliaroad.relay.target_limiter import TargetLimiter
from magnoliaroad.relay.target_table import TargetTable
from magnoliaroad.rendezvous import highest_ranked
from magnoliaroad.slow_start import ColdRates, SlowStartSettings
from tests.fakes.loop import VirtualTimeLoop
from tests.fakes.peers import PeerNetwork

TARGET = RelayTarget("i-1", "lm", "127.0.0.1:1", "dc-1", 8, TargetState.READY, 1000)
NAMES = [f"host-{n}" for n in range(9)]
HOME = highest_ranked("target i-1", NAMES)
# Time until hosts notice that a peer is gone or back, in seconds.
DETECTION_S = 0.8
# The rule: from ``KNOWN_S`` after it was first stated, a target gets in ``WINDOW_S`` at
# most ``FACTOR`` times what its limit allows, and ``SPARE`` requests more.
KNOWN_S, WINDOW_S, FACTOR, SPARE = 3.0, 4.0, 1.5, 5
RATE = 8.0


class Fleet:
    """Hosts whose callers send a target several times as much as it takes."""

    names = NAMES
    service = None

    def __init__(self, loop):
        self.loop = loop
        self.network = PeerNetwork()
        self.rate = RATE
        self.sent_at = []
        self.down = set()
        self.cut = set()
        self.limiters = {name: self.limiter(name) for name in self.names}

    def table(self):
        table = TargetTable()
        table.set(TARGET)
        return table

    def limiter(self, name):
        table = self.table()
        return TargetLimiter(
            name,
            self.network.join(name),
            table,
            lambda: self.in_contact(name),
            lambda: len(self.names),
            lambda: len(self.in_contact(name)) / len(self.names),
            ColdRates(SlowStartSettings(), table.cold, lambda name: self.service),
            self.loop.time,
        )

    def in_contact(self, name):
        side = name in self.cut
        return [n for n in self.names if n not in self.down and (n in self.cut) == side]

    async def send_all(self, name, seconds, interval_s=0.05):
        ends = self.loop.time() + seconds
        await asyncio.sleep(random.Random(name).uniform(0.0, interval_s))
        while self.loop.time() < ends:
            if name in self.network.hosts and name not in self.down:
                await self.send(name)
            await asyncio.sleep(interval_s)

    async def send(self, name):
        limiter = self.limiters[name]
        decision = await limiter.admit(TARGET, FIRST_TRY)
        if decision.admitted:
            at = self.loop.time()
            self.sent_at.append(at)
            rate = self.rate
            await asyncio.sleep(0.01)
            limiter.record_answer(TARGET, rate, at)

    async def run(self, seconds, faults=None):
        sends = [self.send_all(name, seconds) for name in self.names]
        await asyncio.gather(*sends, *([faults] if faults else []))

    def most_in_window(self, begins=KNOWN_S):
        late = [at for at in self.sent_at if at >= begins]
        return max(sum(b <= at < b + WINDOW_S for at in late) for b in late)


@pytest.fixture
def loop():
    loop = VirtualTimeLoop()
    yield loop
    loop.close()


@pytest.fixture
def fleet(loop):
    return Fleet(loop)


def allowed(rate=RATE):
    return FACTOR * WINDOW_S * rate + SPARE


def test_a_target_gets_what_it_takes_from_all_hosts_together(loop, fleet):
    loop.run_until_complete(fleet.run(20.0))
    assert fleet.most_in_window() <= allowed()
    # It is used, too.
    assert len([at for at in fleet.sent_at if at > KNOWN_S]) >= 0.8 * RATE * 17.0


@pytest.mark.parametrize("returns_s", [0.5, 3.0])
def test_the_limit_is_kept_while_its_home_host_restarts(loop, fleet, returns_s):
    async def restart():
        for _ in range(3):
            await asyncio.sleep(4.0)
            fleet.network.crash(HOME)
            await asyncio.sleep(min(returns_s, DETECTION_S))
            fleet.down.add(HOME)
            await asyncio.sleep(max(0.0, returns_s - DETECTION_S))
            fleet.limiters[HOME] = fleet.limiter(HOME)
            fleet.down.discard(HOME)

    loop.run_until_complete(fleet.run(24.0, restart()))
    assert fleet.most_in_window() <= allowed()


@pytest.mark.parametrize("cut", [{HOME}, set(NAMES[:4]), set(NAMES) - {HOME}])
def test_the_limit_is_kept_while_hosts_are_cut_off_from_each_other(loop, fleet, cut):
    async def partition():
        await asyncio.sleep(4.0)
        fleet.network.wire.cut(cut, set(NAMES) - cut)
        await asyncio.sleep(DETECTION_S)
        fleet.cut = set(cut)
        await asyncio.sleep(8.0)
        fleet.network.wire.heal()
        await asyncio.sleep(DETECTION_S)
        fleet.cut = set()

    loop.run_until_complete(fleet.run(20.0, partition()))
    assert fleet.most_in_window() <= allowed()


def test_a_lower_limit_is_kept_soon_after_it_was_stated(loop, fleet):
    async def lower():
        await asyncio.sleep(6.0)
        fleet.rate = RATE / 4

    loop.run_until_complete(fleet.run(20.0, lower()))
    assert fleet.most_in_window(begins=6.0 + KNOWN_S) <= allowed(RATE / 4)


def test_all_hosts_learn_of_the_end_of_a_limit(loop, fleet):
    async def end():
        await asyncio.sleep(6.0)
        fleet.rate = None

    loop.run_until_complete(fleet.run(8.0, end()))
    assert not any(
        limiter.limits.is_limited(TARGET) for limiter in fleet.limiters.values()
    )


def test_the_end_of_the_lowest_limit_is_noticed(loop, fleet):
    fleet.rate = 0.0
    loop.run_until_complete(fleet.run(12.0))
    assert fleet.most_in_window() <= allowed(0.0)
    fleet.rate = None
    loop.run_until_complete(fleet.run(6.0))
    assert not fleet.limiters[HOME].limits.is_limited(TARGET)


def test_hosts_whose_home_host_is_of_an_older_build_use_their_parts(loop, fleet):
    async def ignore(sender, message):
        await asyncio.sleep(3600.0)

    fleet.network.hosts[HOME].on(TargetAdmissionRequest, ignore)
    fleet.down.add(HOME)
    fleet.in_contact = lambda name: NAMES
    loop.run_until_complete(fleet.run(20.0))
    assert 0 < fleet.most_in_window() <= allowed()


def test_a_target_that_refused_is_not_asked_for_again_at_once(loop, fleet):
    limiter = fleet.limiters[next(name for name in NAMES if name != HOME)]
    limiter.record_answer(TARGET, 1.0, 0.0)

    async def admit_many():
        for _ in range(20):
            assert not (await limiter.admit(TARGET, PROMPT_HELD)).admitted

    loop.run_until_complete(admit_many())
    assert sum(limiter._peers.sent.values()) == 1
