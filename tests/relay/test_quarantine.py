"""Quarantine of requests that crash targets, with host and store faults.

Runs in virtual time. Each host has the parts of a relay host that exchange crash
reports. In place of heartbeats, a host asks each peer whose quarantine digest differs.
"""

import asyncio
import contextlib
import random

import pytest
from returns.pipeline import is_successful

from magnoliaroad.peers import PeerError
from magnoliaroad.quarantine import QuarantineService
from magnoliaroad.quarantine.stored_list import PREFIX
from magnoliaroad.relay.mirror import PrefixMirror
from magnoliaroad.relay.quarantine_mirror import QuarantineMirror
from magnoliaroad.relay.settings import RELAY_QUARANTINE, FollowSettings
from magnoliaroad.rendezvous import rendezvous
from magnoliaroad.standins.faults import StoreFaults
from magnoliaroad.standins.kv_state import KvState
from magnoliaroad.standins.local_store import LocalStore
from magnoliaroad.targets import RequestEnd
from tests.fakes import PeerNetwork, VirtualTimeLoop
from tests.fakes.wire import Wire, WireFaults

# The platform's bounds. A request that has crashed a third target must be known within
# this time, in seconds, which is also the time for a host to be in contact again.
CONTACT_S = 3.0
# Most times that such a request may still be sent after that.
MAX_SENT_AFTER = 3
HEARTBEAT_S = 0.1
SILENT_S = 0.8


class Host:
    """One incarnation of a host."""

    def __init__(self, sim, name):
        self.sim, self.name = sim, name
        self.store = LocalStore(sim.state, sim.loop.time)
        self.peers = sim.network.join(name)
        self.quarantine = QuarantineService(
            RELAY_QUARANTINE,
            name,
            self.peers,
            self.store,
            self.detectors,
            self.in_contact,
            sim.loop.time,
        )
        self.following = asyncio.Event()
        self.mirror = PrefixMirror(
            self.store,
            PREFIX,
            FollowSettings(),
            QuarantineMirror(self.quarantine),
            self.following,
            self.following.is_set,
        )
        self.grace_until = sim.loop.time() + CONTACT_S

    def in_contact(self):
        now = self.sim.loop.time()
        others = [n for n in self.sim.hosts if n != self.name]
        return [
            n for n in others if now - self.sim.received_at[n, self.name] < SILENT_S
        ]

    def detectors(self):
        first = rendezvous("crashes", [*self.in_contact(), self.name])[:2]
        return [*(name for name in first if name != self.name), self.name]

    def update_following(self):
        if self.name == min([*self.in_contact(), self.name]):
            self.following.set()
        else:
            self.following.clear()

    async def start(self):
        await self.quarantine.start()
        await self.mirror.start()

    async def stop(self):
        await self.mirror.stop()
        await self.quarantine.stop()


class Sim:
    """Hosts, the store, and targets that crash when they start to run one request."""

    def __init__(self, hosts=8, targets=5, seed=1, faults=None):
        self.random = random.Random(seed)
        self.loop = VirtualTimeLoop()
        self.network = PeerNetwork(Wire(seed, faults))
        self.state = KvState()
        # Revisions of the platform's store start above 0.
        self.state.put("hosts/host-0", b"", None, None)
        self.names = [f"host-{n}" for n in range(hosts)]
        self.hosts = {}
        self.received_at = {(a, b): -9.0 for a in self.names for b in self.names}
        self.cut = set()
        self.targets = {f"t-{n}": 1 for n in range(targets)}
        self.crashed_at = []
        self.sent_in_contact = []
        for name in self.names:
            self.run(self.start(name))

    def run(self, coro):
        return self.loop.run_until_complete(coro)

    async def start(self, name):
        host = Host(self, name)
        self.hosts[name] = host
        await host.start()

    async def kill(self, names, down_s=0.5):
        for name in names:
            host = self.hosts.pop(name, None)
            self.network.hosts.pop(name, None)
            if host is not None:
                await host.stop()
        await asyncio.sleep(down_s)
        for name in names:
            if name not in self.hosts:
                await self.start(name)

    async def isolate(self, names, for_s):
        """Cuts hosts off from all other hosts; they still reach the store."""
        others = [name for name in self.names if name not in names]
        self.network.wire.cut(names, others)
        self.network.wire.cut(names, names)
        await asyncio.sleep(for_s)
        self.network.wire.heal()

    async def store_down(self, names, for_s):
        for name in names:
            if name in self.hosts:
                self.hosts[name].store.faults = StoreFaults(down=True)
        await asyncio.sleep(for_s)
        for host in self.hosts.values():
            host.store.faults = StoreFaults()
            host.grace_until = self.loop.time() + CONTACT_S

    async def heartbeat(self, until):
        wire = self.network.wire
        while self.loop.time() < until:
            for name, host in list(self.hosts.items()):
                host.update_following()
                for other, peer in list(self.hosts.items()):
                    if name == other or not wire.delays(name, other):
                        continue
                    self.received_at[name, other] = self.loop.time()
                    if host.quarantine.digest not in (0, peer.quarantine.digest):
                        task = asyncio.create_task(self.ask_peer(peer, name))
                        self.asking = task
            await asyncio.sleep(HEARTBEAT_S)

    async def ask_peer(self, host, name):
        with contextlib.suppress(PeerError):
            await host.quarantine.fetch_decisions(name, 0.3)

    def send(self, fingerprint="P", others=()):
        """Sends a request that crashes its target through some host.

        The requests ``others`` run on the same target and are lost with it.
        """
        host = self.random.choice(list(self.hosts.values()))
        if not is_successful(host.quarantine.check(fingerprint)):
            return False
        now = self.loop.time()
        target = self.random.choice(list(self.targets))
        born, self.targets[target] = self.targets[target], self.targets[target] + 1
        lost = [(host, fingerprint)]
        lost += [(self.random.choice(list(self.hosts.values())), f) for f in others]
        for sender, lost_fingerprint in lost:
            sender.quarantine.request_started(target, lost_fingerprint)
            sender.quarantine.request_ended(
                target, lost_fingerprint, RequestEnd.LOST, "chat", born
            )
        known_by = (self.crashed_at[2:3] or [now])[0] + CONTACT_S
        if now > known_by and now > host.grace_until:
            self.sent_in_contact.append(now)
        self.crashed_at.append(now)
        return True

    async def send_until(self, until, gap_s):
        while self.loop.time() < until:
            if self.hosts:
                self.send()
            await asyncio.sleep(self.random.uniform(0.5, 1.5) * gap_s)

    def close(self):
        for host in self.hosts.values():
            self.run(host.stop())
        self.loop.close()


@pytest.fixture
def sim(request):
    sim = Sim(**getattr(request, "param", {}))
    yield sim
    sim.close()


def simulate(sim, *faults, seconds=30.0, gap_s=0.3):
    async def all_at_once():
        until = sim.loop.time() + seconds
        coros = [sim.heartbeat(until), sim.send_until(until, gap_s), *faults]
        await asyncio.gather(*coros)

    sim.run(all_at_once())


@pytest.mark.parametrize("gap_s", [0.05, 0.3, 2.0, 4.0])
def test_without_faults_few_targets_crash(sim, gap_s):
    simulate(sim, gap_s=gap_s)
    assert sim.sent_in_contact == []
    assert len(sim.crashed_at) <= 3 + 1.5 / gap_s


def test_a_host_that_reaches_only_the_store_refuses_the_request_too(sim):
    simulate(sim, sim.isolate(["host-3"], 25.0), gap_s=1.0)
    assert len(sim.sent_in_contact) <= MAX_SENT_AFTER


def test_the_request_is_refused_while_the_store_is_down(sim):
    simulate(sim, sim.store_down(sim.names, 25.0))
    assert len(sim.crashed_at) <= 8


def test_restarted_hosts_refuse_the_request(sim):
    async def restart_all():
        for name in sim.names * 2:
            await asyncio.sleep(1.0)
            await sim.kill([name])

    simulate(sim, restart_all())
    assert len(sim.sent_in_contact) <= MAX_SENT_AFTER


@pytest.mark.parametrize("seed", range(12))
def test_the_request_is_refused_after_all_hosts_are_killed(seed):
    sim = Sim(seed=seed)

    async def kill_all():
        for _ in range(5):
            await asyncio.sleep(sim.random.uniform(4.0, 9.0))
            await sim.kill(list(sim.hosts), sim.random.uniform(0.1, 1.0))

    simulate(sim, kill_all(), seconds=45.0, gap_s=sim.random.choice([0.7, 1.5, 2.5]))
    sim.close()
    assert len(sim.sent_in_contact) <= MAX_SENT_AFTER


@pytest.mark.parametrize("seed", range(20))
def test_the_request_is_refused_under_all_faults_at_once(seed):
    faults = WireFaults(min_delay_s=0.001, max_delay_s=0.02, drop=0.03)
    sim = Sim(seed=seed, faults=faults)
    rng = sim.random

    async def inject_faults():
        for _ in range(12):
            await asyncio.sleep(rng.uniform(0.2, 3.0))
            names = rng.sample(sim.names, rng.randrange(1, 5))
            inject = rng.choice([sim.kill, sim.isolate, sim.store_down])
            await inject(names, rng.uniform(0.3, 3.0))

    simulate(sim, inject_faults(), seconds=40.0, gap_s=rng.choice([0.2, 0.7, 1.5]))
    sim.close()
    assert len(sim.sent_in_contact) <= MAX_SENT_AFTER


def test_requests_lost_with_the_same_target_are_served(sim):
    async def lose():
        for number in range(12):
            # Other turns are lost once or twice and end well when they are sent again.
            others = [f"turn-{number}-{n}" for n in range(6)]
            others += [f"turn-{number - 1}-{n}" for n in range(2)]
            if not sim.send(others=others):
                break
            await asyncio.sleep(1.0)
            for fingerprint in others:
                host = sim.random.choice(list(sim.hosts.values()))
                assert is_successful(host.quarantine.check(fingerprint))
                host.quarantine.request_started("t", fingerprint)
                host.quarantine.request_ended("t", fingerprint, RequestEnd.COMPLETED)
        else:
            pytest.fail("the request was never refused")

    async def all_at_once():
        await asyncio.gather(sim.heartbeat(20.0), lose())

    sim.run(all_at_once())
    assert len(sim.crashed_at) <= 4
