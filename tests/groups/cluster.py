"""Group services on a simulated network with one store, in virtual time."""

import asyncio
from types import SimpleNamespace

from magnoliaroad.groups import GroupEntry, GroupService, GroupSettings
from magnoliaroad.membership import HostRecord
from magnoliaroad.standins.faults import StoreFaults
from magnoliaroad.standins.kv_state import KvState
from magnoliaroad.standins.local_store import LocalStore
from tests.fakes import PeerNetwork, VirtualTimeLoop, Wire, WireFaults

CFG = GroupSettings(group_count=4, copies=2)

WITH_FOLDER = "ab"


class Cluster:
    """Group services whose maintenance rounds are run explicitly by tests."""

    def __init__(self, seed=0, faults=None, cfg=CFG, folder=None):
        self.loop = VirtualTimeLoop()
        self.network = PeerNetwork(Wire(seed, faults or WireFaults()))
        self.state = KvState()
        self.cfg = cfg
        self.folder = folder
        self.hosts = {}
        self.stores = {}
        self.listed = {}
        self.listeners = []
        self.starts = 0

    def run(self, coro):
        return self.loop.run_until_complete(coro)

    def join(self, name, data_centre="kolkata-1"):
        self.starts += 1
        record = HostRecord(name, data_centre, "127.0.0.1", 0, 0, f"{self.starts:012}")
        self.listed[name] = record
        membership = SimpleNamespace(
            record=record, hosts=self.listed, on_change=self.listeners.append
        )
        peers = self.network.join(name, data_centre)
        store = LocalStore(self.state, self.loop.time)
        service = GroupService(self.cfg, membership, store, peers, self.loop.time)
        self.hosts[name], self.stores[name] = service, store
        self.run(self._notify())
        return service

    def crash(self, name, unlist=True):
        self.network.crash(name)
        if unlist:
            del self.listed[name]
            self.run(self._notify())
        return self.hosts.pop(name)

    def store_down(self, down, names=None):
        for name in names or self.hosts:
            self.stores[name].faults = StoreFaults(down=down)

    async def _notify(self):
        for listener in self.listeners:
            listener()

    async def _steps(self, count):
        for _ in range(count):
            for service in list(self.hosts.values()):
                await service.refresh()
                await service.prober.probe()
                await service.run_maintenance()
                await service.repair()
            await asyncio.sleep(self.cfg.poll_interval_s)

    def settle(self, steps=8):
        self.run(self._steps(steps))

    def owner(self, group):
        """Returns a service that may act as owner of ``group``, or ``None``."""
        owners = [s for s in self.hosts.values() if s.fence(group) is not None]
        return owners[0] if owners else None

    def append(self, service, group, key="k", sequence=1, body=b"x"):
        fence = service.fence(group) or 0
        entry = GroupEntry(group, "test", key, sequence, fence, body)
        self.run(service.append(entry))
        return entry


def bodies(service, group):
    return {(e.key, e.sequence): e.body for e in service.entries(group, "test")}
