import asyncio
import contextlib

from magnoliaroad.app import HostApplication
from magnoliaroad.limits.clock import expiry_clock
from magnoliaroad.limits.settings import LimitSettings
from magnoliaroad.limits.share_store import TABLE_PREFIX
from magnoliaroad.limits.table import unpack_table
from magnoliaroad.standins.deployment import DATA_CENTRE, demo_settings
from magnoliaroad.standins.kv_server import KvServer
from magnoliaroad.standins.serve_app import serve_app

LIMITS = LimitSettings(confirm_interval_s=0.1, loan_s=0.1, right_s=1.0)
ATTEMPTS = 400


async def wait_until(condition):
    for _ in range(ATTEMPTS):
        if condition():
            return
        await asyncio.sleep(0.05)
    raise AssertionError("the condition was not met in time")


def member_names(store):
    entry = store.state.get(TABLE_PREFIX + DATA_CENTRE)
    if entry is None:
        return []
    return [member.host for member in unpack_table(entry.value).current.members]


@contextlib.asynccontextmanager
async def two_hosts(store):
    async with serve_app(store.app()) as url:
        apps = [
            HostApplication(demo_settings(url, name)._replace(limits=LIMITS))
            for name in ("host-1", "host-2")
        ]
        for app in apps:
            await app.start()
        await wait_until(lambda: len(member_names(store)) == 2)
        yield apps
        for app in apps:
            await app.stop()


async def test_graceful_stop_hands_over_before_the_lease_ends():
    store = KvServer()
    async with two_hosts(store) as (first, second):
        await first.drain()
        await wait_until(lambda: "host-1" in second.membership.leaving_hosts)
        assert store.state.get("hosts/host-1") is not None
        await first.stop()
        assert member_names(store) == ["host-2"]
        assert store.state.get("hosts/host-1") is None
        await wait_until(lambda: "host-1" not in second.membership.hosts)
        view = second.limits.protocol.view
        await wait_until(lambda: view.fraction("arcades", expiry_clock()) == 1.0)
