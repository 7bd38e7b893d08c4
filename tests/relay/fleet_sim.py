"""Simulation of a fleet that exchanges heartbeats, in virtual time, without sockets."""

import heapq
import itertools
import random

from magnoliaroad.peers import MessageCatalogue, PeerAddress
from magnoliaroad.peers.frame import Frame, FrameKind, pack_frame
from magnoliaroad.relay.fleet_messages import Heartbeat
from magnoliaroad.relay.heartbeat_router import HeartbeatRouter
from magnoliaroad.relay.heartbeat_tracker import HeartbeatTracker
from magnoliaroad.relay.quota import TeamCount
from magnoliaroad.relay.settings import RelayListen, RelaySettings
from magnoliaroad.store.settings import StoreSettings

# Shortest one-way delays within a data centre and between two, and the largest lag of a
# host's timer, in seconds.
NEAR_S, FAR_S, LATE_S = 0.0005, 0.0025, 0.02


# Teams and targets, requests a second at each host, and teams whose counts it sends.
TEAMS, TARGETS, ADMITTED_PER_S, SENT_TEAMS = 140, 74, 0.7, 3
CATALOGUE = MessageCatalogue()


def packed_size(message):
    return len(pack_frame(Frame(FrameKind.SEND, 0, *CATALOGUE.pack(message))))


class SimHost:
    """The tracker and the router of a host, without its services."""

    def __init__(self, sim, name, data_centre, boot="1"):
        cfg = RelaySettings(
            name=name,
            data_centre=data_centre,
            listen=RelayListen("127.0.0.1:1", "127.0.0.1:2"),
            store=StoreSettings("http://127.0.0.1:4"),
        )
        self.cfg, self.boot, self.began = cfg, boot, sim.now
        self.tracker = HeartbeatTracker(cfg, sim.now)
        self.router = HeartbeatRouter(cfg, self.tracker)
        self.in_flight = {}
        self.plan_version = 1
        self.admitted = {}
        self._counts = {}
        self.records = sim.records
        self.link_free_at = 0.0
        self.longest_wait_s = 0.0
        self.sent_bytes = 0
        self.total_in_flight = {}
        self.sent = self.received = 0
        members = {n: a for n, a in sim.addresses.items() if n != name}
        self.tracker.set_members(sim.now, members)

    def heartbeat(self, now):
        return Heartbeat(
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
            plan_version=self.plan_version,
            plan_key="op/config",
            plan_bytes=23_000,
            admitted=dict(self.admitted),
            has_all_teams=False,
            in_flight=dict(self.in_flight),
            cooldowns={},
        )

    def admit(self, chance):
        """Admits the requests of 0.1 s; only counts that changed lately are sent."""
        self.in_flight = {f"i-{chance.randrange(TARGETS):010}": 1}
        if chance.random() < ADMITTED_PER_S * 0.1:
            team = f"team-{chance.randrange(TEAMS)}"
            self._counts[team] = self._counts.get(team, 0) + 1
            self.admitted[team] = TeamCount(self._counts[team], 0)
            if len(self.admitted) > SENT_TEAMS:
                del self.admitted[next(iter(self.admitted))]

    def send(self, now):
        recipients, heartbeat = self.router.recipients(now, True), self.heartbeat(now)
        yield recipients.heartbeat, heartbeat
        yield from self.router.digests(now, heartbeat, self.records, recipients)
        self.tracker.update_silent(now)
        for data_centre in self.tracker.silent_data_centres:
            self.router.forget_data_centre(data_centre)

    def receive(self, now, message):
        if isinstance(message, Heartbeat):
            self.receive_heartbeat(now, message, 0.0)
            return
        for heartbeat in message.heartbeats:
            if heartbeat.host != self.cfg.name and heartbeat.host in message.ages:
                age_s = message.ages[heartbeat.host] / 1000
                self.receive_heartbeat(
                    now, self.tracker.with_known_in_flight(heartbeat), age_s
                )
        self.tracker.receive_ages(now, message.ages)
        if message.inter_data_centre:
            self.router.receive_far(message)
        else:
            self.total_in_flight = message.in_flight

    def receive_heartbeat(self, now, heartbeat, age_s):
        if not self.tracker.is_older(now - age_s, heartbeat):
            if self.tracker.is_new_incarnation(heartbeat):
                self.router.add_started(heartbeat.host)
            self.tracker.receive(now - age_s, heartbeat)


class FleetSim:
    """Hosts in several data centres, on a network that may lose messages.

    With ``link_bytes_per_s`` messages wait for those that their sender sent before, as
    answers to its callers would.
    """

    def __init__(
        self,
        hosts,
        data_centres,
        seed=1,
        lost=0.0,
        link_bytes_per_s=None,
        prefix="host",
    ):
        self.now, self.lost = 0.0, lost
        self.link_bytes_per_s = link_bytes_per_s
        self.records = []
        self.random = random.Random(seed)
        self.addresses = {
            f"{prefix}-{n}": PeerAddress(
                f"{prefix}-{n}", f"dc-{n % data_centres}", "127.0.0.1", 1
            )
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
        for names, message in host.send(self.now):
            size = packed_size(message) if self.link_bytes_per_s and names else 0
            for name in names:
                host.sent += 1
                self.transmit(host, name, message, self.wait_for_link(host, size))
        wait_s = host.tracker.near_interval_s + self.random.uniform(0.0, LATE_S)
        self.at(self.now + wait_s, self.tick, host)

    def wait_for_link(self, host, size):
        """Returns the time until the sender's link has sent ``size`` more bytes."""
        if not size:
            return 0.0
        host.sent_bytes += size
        begins = max(self.now, host.link_free_at)
        host.link_free_at = begins + size / self.link_bytes_per_s
        wait_s = host.link_free_at - self.now
        host.longest_wait_s = max(host.longest_wait_s, wait_s)
        return wait_s

    def transmit(self, host, name, message, wait_s):
        if name not in self.addresses:
            return
        data_centre = self.addresses[name].data_centre
        near = data_centre == host.cfg.data_centre
        partitioned = (data_centre in self.cut) != (host.cfg.data_centre in self.cut)
        if partitioned or self.random.random() < self.lost:
            return
        delay_s = (NEAR_S if near else FAR_S) * self.random.uniform(1.0, 4.0)
        self.at(self.now + wait_s + delay_s, self.arrive, name, message)

    def arrive(self, name, message):
        host = self.hosts.get(name)
        if host is not None:
            host.received += 1
            host.receive(self.now, message)

    def silent_at(self, name):
        """Returns the number of hosts that count ``name`` as out of contact."""
        return sum(name in host.tracker.silent for host in self.hosts.values())
