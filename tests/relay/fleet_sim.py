"""Hosts that tell each other of themselves, in virtual time without sockets."""

import heapq
import itertools
import random

from magnoliaroad.peers import PeerAddress
from magnoliaroad.relay.beat import Beat
from magnoliaroad.relay.beat_router import BeatRouter
from magnoliaroad.relay.host_book import HostBook
from magnoliaroad.relay.settings import RelayListen, RelaySettings
from magnoliaroad.store.settings import StoreSettings

# One way within a data centre and between two, and how late a host's timer is.
NEAR_S, FAR_S, LATE_S = 0.0005, 0.0025, 0.02


class SimHost:
    """The pure half of a host's heartbeats."""

    def __init__(self, sim, name, data_centre, boot="1"):
        cfg = RelaySettings(
            name=name,
            data_centre=data_centre,
            listen=RelayListen("127.0.0.1:1", "127.0.0.1:2"),
            store=StoreSettings("http://127.0.0.1:4"),
        )
        self.cfg, self.boot, self.began = cfg, boot, sim.now
        self.book = HostBook(cfg, sim.now)
        self.router = BeatRouter(cfg, self.book)
        self.work = {}
        self.loads = {}
        self.sent = self.received = 0
        members = {n: a for n, a in sim.addresses.items() if n != name}
        self.book.set_members(sim.now, members)

    def beat(self, now):
        return Beat(
            host=self.cfg.name,
            boot=self.boot,
            data_centre=self.cfg.data_centre,
            address="127.0.0.1",
            port=1,
            age_s=now - self.began,
            draining=False,
            store_lost=False,
            slow=False,
            targets_revision=0,
            plan_version=1,
            plan_key="",
            plan_bytes=0,
            admitted={},
            whole=False,
            in_hand=dict(self.work),
            rests={},
        )

    def tell(self, now):
        told, beat = self.router.recipients(now, True), self.beat(now)
        yield told.beat, beat
        if told.far:
            yield told.far, self.router.far_digest(now, beat)
        if told.near:
            yield told.near, self.router.near_digest(now, beat, [])
        self.book.count_silent(now)
        for place in self.book.places_silent:
            self.router.forget_place(place)

    def hear(self, now, message):
        if isinstance(message, Beat):
            self.hear_beat(now, message, 0.0)
            return
        for beat in message.beats:
            if beat.host != self.cfg.name and beat.host in message.ages:
                age_s = message.ages[beat.host] / 1000
                self.hear_beat(now, self.book.with_work(beat), age_s)
        self.book.hear_ages(now, message.ages)
        if message.onward:
            self.router.hear_far(message)
        else:
            self.loads = message.in_hand

    def hear_beat(self, now, beat, age_s):
        if not self.book.is_older(now - age_s, beat):
            if self.book.meets(beat):
                self.router.met()
            self.book.hear(now - age_s, beat)


class FleetSim:
    """Hosts of some data centres on a wire that may lose messages."""

    def __init__(self, hosts, places, seed=1, lost=0.0):
        self.now, self.lost = 0.0, lost
        self.random = random.Random(seed)
        self.addresses = {
            f"host-{n}": PeerAddress(f"host-{n}", f"dc-{n % places}", "127.0.0.1", 1)
            for n in range(hosts)
        }
        self.cut = set()
        self.hosts = {}
        self._events, self._number = [], itertools.count()
        for name in self.addresses:
            self.start(name)

    def start(self, name, boot="1"):
        host = SimHost(self, name, self.addresses[name].data_centre, boot)
        self.hosts[name] = host
        self.at(self.now + self.random.uniform(0.0, 0.3), self.tick, host)

    def kill(self, name):
        del self.hosts[name]

    def at(self, when, act, *args):
        heapq.heappush(self._events, (when, next(self._number), act, args))

    def run(self, seconds):
        ends = self.now + seconds
        while self._events and self._events[0][0] <= ends:
            self.now, _, act, args = heapq.heappop(self._events)
            act(*args)
        self.now = ends

    def tick(self, host):
        if self.hosts.get(host.cfg.name) is not host:
            return
        for names, message in host.tell(self.now):
            for name in names:
                host.sent += 1
                self.carry(host, name, message)
        wait_s = host.book.near_s + self.random.uniform(0.0, LATE_S)
        self.at(self.now + wait_s, self.tick, host)

    def carry(self, host, name, message):
        if name not in self.addresses:
            return
        place = self.addresses[name].data_centre
        near = place == host.cfg.data_centre
        parted = (place in self.cut) != (host.cfg.data_centre in self.cut)
        if parted or self.random.random() < self.lost:
            return
        delay_s = (NEAR_S if near else FAR_S) * self.random.uniform(1.0, 4.0)
        self.at(self.now + delay_s, self.arrive, name, message)

    def arrive(self, name, message):
        host = self.hosts.get(name)
        if host is not None:
            host.received += 1
            host.hear(self.now, message)

    def silent_at(self, name):
        """Returns for how many hosts ``name`` is out of contact."""
        return sum(name in host.book.silent for host in self.hosts.values())
