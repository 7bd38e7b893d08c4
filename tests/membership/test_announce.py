import asyncio

from magnoliaroad.membership import HostRecord, MembershipService
from magnoliaroad.membership.settings import MembershipSettings
from magnoliaroad.standins.kv_state import KvState
from magnoliaroad.standins.local_store import LocalStore
from magnoliaroad.store import StoreUnavailable
from tests.fakes import PeerNetwork, VirtualTimeLoop


class SilentWatchStore(LocalStore):
    async def watch(self, prefix, after, limit_s=None):
        await asyncio.sleep(limit_s)
        raise StoreUnavailable("no answer")


def test_hosts_that_start_together_know_each_other_once_both_are_announced():
    loop, network, state = VirtualTimeLoop(), PeerNetwork(), KvState()
    records = [
        HostRecord(name, "kolkata-1", "127.0.0.1", 1, 2, name) for name in ("a", "b")
    ]
    hosts = [
        MembershipService(
            MembershipSettings(),
            record,
            SilentWatchStore(state, loop.time),
            network.join(record.host),
        )
        for record in records
    ]
    for host in hosts:
        loop.run_until_complete(host.start())
    for host, record in zip(hosts, records, strict=True):
        loop.run_until_complete(host.announce(record))
    known = [sorted(host.hosts) for host in hosts]
    for host in hosts:
        loop.run_until_complete(host.stop())
    loop.close()
    assert known == [["a", "b"], ["a", "b"]]
