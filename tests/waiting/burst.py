"""Replays bursts on a service with few targets, with a virtual clock and no network."""

import asyncio
import collections
import random
import time
from typing import NamedTuple

from magnoliaroad.relay.dialect import TargetLoad
from magnoliaroad.relay.offers import Offers
from magnoliaroad.relay.placement import choose_least_loaded
from magnoliaroad.relay.target import RelayTarget, TargetState
from magnoliaroad.relay.target_table import TargetTable
from magnoliaroad.target_model.model import TargetModel
from magnoliaroad.target_model.plain_choice import choose_by_free_slots
from magnoliaroad.target_model.settings import PlacementSettings
from magnoliaroad.targets import TargetFull
from magnoliaroad.waiting.room import WaitingRequest, WaitingRoom
from magnoliaroad.waiting.settings import WaitingSettings
from magnoliaroad.waiting.standing import Standing

# Hosts, targets and slots as in the deployment that lost requests to full targets; half
# the hosts, and requests that take twice as long, so that a replay takes a second.
HOSTS = 40
SLOTS = 6
CALL_S = 0.04
DATA_CENTRES = ("dc-1", "dc-1", "dc-2", "dc-3")
# Usual part of the slots in use.
USUAL_PART = 0.45
CALLS = 4
# Time limit of a call, and the time within which it is worth most, in seconds.
LIMIT_S = 1.5
OBJECTIVE_S = 0.25
# Part of the time in which a noisy neighbour slows a target, and by how much.
SLOWED_PART = 0.15
SLOWDOWN = 2.5


class Kind(NamedTuple):
    """Programs of one team.

    Attributes:
        team: Its name.
        rank: Rank of its programs.
        per_s: Programs that usually begin in a second.
    """

    team: str
    rank: int
    per_s: float


class Target:
    """A target that refuses what its slots do not hold."""

    def __init__(self, number, rng):
        self.rng = rng
        self.running = 0
        self.slowdown = 1.0
        self.entry = RelayTarget(
            f"i-{number}",
            "app",
            f"10.0.0.{number}:80",
            DATA_CENTRES[number],
            SLOTS,
            TargetState.READY,
        )

    def stated(self):
        return TargetLoad(self.running, 0, SLOTS, self.slowdown)

    async def vary(self):
        while True:
            self.slowdown = SLOWDOWN if self.rng.random() < SLOWED_PART else 1.0
            await asyncio.sleep(self.rng.uniform(0.1, 0.3))

    async def run(self):
        """Returns whether the request was run."""
        if self.running >= SLOTS:
            return False
        self.running += 1
        await asyncio.sleep(self.rng.uniform(0.5, 1.5) * CALL_S * self.slowdown)
        self.running -= 1
        return True


class Host:
    """A relay host: places requests, and lets them wait for room."""

    def __init__(self, site, number):
        self.site = site
        self.name = f"host-{number}"
        self.data_centre = DATA_CENTRES[number % len(DATA_CENTRES)]
        self.table = TargetTable()
        for target in site.targets.values():
            self.table.set(target.entry)
        self.model = TargetModel(PlacementSettings(), self.table, lambda name: None)
        self.room = WaitingRoom(
            WaitingSettings(enabled="on" if site.waits else "off"),
            self.model.loads.states_slowdown,
        )

    async def follow(self):
        """Learns the counts of the other hosts, a while after they were so."""
        while True:
            others = collections.Counter()
            for host in self.site.hosts:
                if host is not self:
                    others.update(host.table.in_flight)
            await asyncio.sleep(self.site.rng.uniform(0.1, 0.5))
            self.table.replace_remote_in_flight({"others": dict(others)})

    def choose(self, usable, request):
        now = time.monotonic()
        candidates = self.model.plain_candidates(usable, self.data_centre, now)
        name = choose_by_free_slots(candidates, request, self.name)
        return self.table.targets[name]

    async def call(self, kind, request, deadline, has_begun):
        """Returns whether a target ran the request."""
        offers, since = Offers(), None
        standing = Standing(kind.rank, deadline - time.monotonic(), has_begun)
        waits = self.room.is_active("app")
        tries = bool(not waits or self.room.goes_first("app", standing))
        while True:
            while tries and offers.count < 4:
                usable = self.table.usable("app", time.monotonic(), offers.excluded)
                if not usable:
                    break
                target = self.choose(usable, request)
                if await self.send(target, offers):
                    return True
            has_tried, since = since is not None, since or time.monotonic()
            waiting = WaitingRequest(
                request, "app", kind.team, standing, 100, since, deadline, has_tried
            )
            if not waits or not await self.room.wait(waiting):
                return False
            tries = True
            offers.readmit_full()

    async def send(self, target, offers):
        site, name = self.site, target.name
        self.table.record_start(name)
        site.sends += 1
        ran = await site.targets[name].run()
        stated = site.targets[name].stated()
        self.model.record_load(target, stated, time.monotonic())
        self.table.record_end(name)
        if ran:
            self.room.record_end("app")
        else:
            site.found_full += 1
            offers.record_failure(name, TargetFull("full"), False)
        return ran


class CountingHost(Host):
    """Places requests by the counts of hosts alone."""

    def choose(self, usable, request):
        return choose_least_loaded(
            self.table, usable, self.data_centre, request, self.name
        )


class Site:
    """Hosts, targets and the programs that use them.

    Args:
        seed: Seed of the replay.
        waits: Whether requests wait for room.
        host_type: Class of the hosts.
    """

    def __init__(self, seed, waits=True, host_type=Host):
        self.rng = random.Random(seed)
        self.waits = waits
        targets = [Target(n, self.rng) for n in range(len(DATA_CENTRES))]
        self.targets = {target.entry.name: target for target in targets}
        self.hosts = [host_type(self, number) for number in range(HOSTS)]
        self.sends = self.found_full = self.refusals = self.calls = 0
        self.began = collections.Counter()
        self.served = collections.Counter()
        self.team_calls = collections.Counter()
        self.calls_in_time = collections.Counter()

    async def program(self, kind, name):
        self.began[kind.team] += 1
        for number in range(CALLS):
            if not await self.call(kind, f"{name}-{number}", number > 0):
                return
            await asyncio.sleep(self.rng.uniform(0.01, 0.05))
        self.served[kind.team] += 1

    async def call(self, kind, request, has_begun):
        """Sends a call, and again at another host while its time lasts."""
        self.calls += 1
        self.team_calls[kind.team] += 1
        began = time.monotonic()
        deadline = began + LIMIT_S
        while (left_s := deadline - time.monotonic()) > CALL_S:
            host = self.rng.choice(self.hosts)
            if await host.call(kind, request, deadline, has_begun):
                in_time = time.monotonic() - began <= OBJECTIVE_S
                self.calls_in_time[kind.team] += in_time
                return True
            self.refusals += 1
            await asyncio.sleep(min(0.3, left_s / 3))
        return False

    async def arrivals(self, kind, factors, tasks):
        """Begins programs; ``factors`` are those of the usual rate in each second."""
        for second, factor in enumerate(factors):
            at = float(second)
            while (at := at + self.rng.expovariate(kind.per_s * factor)) < second + 1:
                await asyncio.sleep(max(0.0, at - time.monotonic()))
                name = f"{kind.team}-{self.began[kind.team]}"
                tasks.append(asyncio.create_task(self.program(kind, name)))

    async def play(self, kinds):
        """Plays programs of kinds with their factors, by kind, to their end."""
        rest = [*(t.vary() for t in self.targets.values())]
        rest += [host.follow() for host in self.hosts]
        background = [asyncio.create_task(part) for part in rest]
        tasks = []
        await asyncio.gather(*(self.arrivals(*item, tasks) for item in kinds.items()))
        await asyncio.gather(*tasks)
        for task in background:
            task.cancel()

    def share(self, *teams):
        """Returns the share of the programs of teams that were served whole."""
        began = sum(self.began[team] for team in teams)
        return sum(self.served[team] for team in teams) / began

    def share_in_time(self, *teams):
        """Returns the share of the calls of teams that met their objective."""
        calls = sum(self.team_calls[team] for team in teams)
        return sum(self.calls_in_time[team] for team in teams) / calls


def usual_programs_per_s():
    """Returns the programs in a second that use the usual part of the slots."""
    slowed = 1.0 + SLOWED_PART * (SLOWDOWN - 1.0)
    calls_per_s = USUAL_PART * SLOTS * len(DATA_CENTRES) / (CALL_S * slowed)
    return calls_per_s / CALLS
