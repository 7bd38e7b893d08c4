"""Random losses that the deployment allows, and what has been acknowledged before."""

import asyncio
import math
import random
import shutil

import pytest

from magnoliaroad.records.settings import RecordSettings
from magnoliaroad.relay.settings import TurnSettings
from magnoliaroad.standins.faults import StoreFaults
from tests.fakes.loop import VirtualTimeLoop
from tests.records.test_records import DATA_CENTRES, Fleet

CFG = RecordSettings()
KEEP_LIMIT_S = TurnSettings().store_patience_s
RETENTION_S = 60.0
# Series of faults that overlap, and the faults of each.
EPISODES, FAULTS = 4, 12
# Longest pause between faults, and the pause between records, in seconds.
MAX_GAP_S, RECORD_GAP_S = 1.5, 0.1
# Time for which a host counts as lost once it and the store are back, in seconds.
CATCH_UP_S = 4.9
# Time after a series of faults in which all hosts recover, in seconds.
RECOVERY_S = 12.0


@pytest.fixture
def loop():
    loop = VirtualTimeLoop()
    yield loop
    loop.close()


class LostHosts:
    """Which hosts count as lost, and whose disk may be lost now.

    A host counts as lost until ``CATCH_UP_S`` after it is back, or after the store is
    back if that is later. Of losses that overlap, one may take a disk with it.
    """

    def __init__(self):
        self._whole_at = dict.fromkeys(DATA_CENTRES, -math.inf)
        self._wiped = ""
        # Hosts whose losses overlap with that of the wiped one.
        self._linked = set()

    def host_down(self, now, name):
        self._end_episode(now)
        if self._linked:
            self._linked.add(name)
        self._whole_at[name] = math.inf

    def host_back(self, now, name, store_is_up):
        self._whole_at[name] = now + CATCH_UP_S if store_is_up else math.inf

    def store_changed(self, now, store_is_up, running):
        for name in running:
            if self._whole_at[name] > now:
                self.host_back(now, name, store_is_up)

    def wipe(self, now, name):
        """Records that a disk is lost, if that is allowed; returns whether it is."""
        self._end_episode(now)
        if self._wiped not in ("", name):
            return False
        self._wiped = name
        self._whole_at[name] = math.inf
        self._linked |= {name, *(h for h, at in self._whole_at.items() if at > now)}
        return True

    def _end_episode(self, now):
        self._linked = {host for host in self._linked if self._whole_at[host] > now}
        if not self._linked:
            self._wiped = ""


class Losses:
    """Keeps records while hosts, the store and, one at a time, disks are lost."""

    def __init__(self, fleet, rng):
        self.fleet, self.rng = fleet, rng
        self.kept, self.wipes = {}, 0
        self._lost = LostHosts()
        self._number = 0

    @property
    def now(self):
        return self.fleet.loop.time()

    @property
    def store_is_up(self):
        return not self.fleet.store.faults.down

    async def send_heartbeats(self):
        while True:
            self.fleet.send_heartbeats(*self.fleet.hosts)
            await asyncio.sleep(CFG.here_interval_s)

    async def keep_records(self):
        async with asyncio.TaskGroup() as group:
            while True:
                self._number += 1
                group.create_task(self._keep(f"turns/{self._number}"))
                await asyncio.sleep(RECORD_GAP_S)

    async def _keep(self, key):
        value = key.encode()
        try:
            async with asyncio.timeout(KEEP_LIMIT_S):
                await self.fleet.client.keep(key, value, 2 * RETENTION_S)
        except TimeoutError:
            return
        self.kept[key] = value

    async def apply_fault(self):
        faults = (self.kill, self.kill_all, self.start, self.wipe, self.toggle_store)
        await self.rng.choice(faults)()

    async def kill(self):
        if self.fleet.hosts:
            await self._stop(self.rng.choice(sorted(self.fleet.hosts)))

    async def kill_all(self):
        for name in list(self.fleet.hosts):
            await self._stop(name)

    async def _stop(self, name):
        self._lost.host_down(self.now, name)
        await self.fleet.stop(name)

    async def start(self):
        down = sorted(DATA_CENTRES.keys() - self.fleet.hosts.keys())
        if down:
            await self._start(self.rng.choice(down))

    async def _start(self, name):
        await self.fleet.start(name)
        self._lost.host_back(self.now, name, self.store_is_up)

    async def wipe(self):
        """Ends a host and empties its disk, if that is allowed now."""
        name = self.rng.choice(sorted(DATA_CENTRES))
        if not self._lost.wipe(self.now, name):
            return
        if name in self.fleet.hosts:
            await self._stop(name)
        shutil.rmtree(self.fleet.folder / name, ignore_errors=True)
        self.wipes += 1

    async def toggle_store(self):
        self.fleet.store.faults = StoreFaults(down=self.store_is_up)
        self._lost.store_changed(self.now, self.store_is_up, self.fleet.hosts)

    async def restore(self):
        """Ends all faults."""
        if not self.store_is_up:
            await self.toggle_store()
        for name in DATA_CENTRES.keys() - self.fleet.hosts.keys():
            await self._start(name)


@pytest.mark.parametrize("seed", range(25))
def test_no_allowed_losses_lose_a_kept_record(loop, tmp_path, seed):
    """LOST: a record on one disk was acknowledged, and lost with that disk."""
    rng = random.Random(seed)

    async def run():
        fleet = Fleet(loop, tmp_path)
        losses = Losses(fleet, rng)
        for name in DATA_CENTRES:
            await fleet.start(name)
        tasks = [
            asyncio.create_task(losses.send_heartbeats()),
            asyncio.create_task(losses.keep_records()),
        ]
        for _ in range(EPISODES):
            for _ in range(FAULTS):
                await asyncio.sleep(rng.uniform(0.0, MAX_GAP_S))
                await losses.apply_fault()
            await losses.restore()
            await asyncio.sleep(RECOVERY_S)
        for task in tasks:
            task.cancel()
        async with asyncio.timeout(RECOVERY_S):
            found = {key: await fleet.client.fetch(key) for key in losses.kept}
        assert losses.kept
        assert losses.wipes
        assert found == losses.kept
        for name in list(fleet.hosts):
            await fleet.stop(name)

    loop.run_until_complete(run())
