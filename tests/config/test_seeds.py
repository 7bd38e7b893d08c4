import contextlib

import pytest

from magnoliaroad.app import HostApplication
from magnoliaroad.config.publish import publish
from magnoliaroad.keys import digest_key, fingerprint
from magnoliaroad.keys.withdrawal_store import add_withdrawal
from magnoliaroad.membership.seeds import seed_addresses
from magnoliaroad.peers.settings import PeerSettings
from magnoliaroad.standins.deployment import DEMO_KEY, demo_config, demo_settings
from magnoliaroad.standins.faults import StoreFaults
from magnoliaroad.standins.kv_server import KvServer
from magnoliaroad.standins.serve_app import serve_app
from magnoliaroad.store.client import HttpStore
from magnoliaroad.store.settings import StoreSettings


@contextlib.asynccontextmanager
async def host(url, name, seeds=()):
    cfg = demo_settings(url, name)._replace(peers=PeerSettings(seeds=seeds))
    app = HostApplication(cfg)
    await app.start()
    try:
        yield app
    finally:
        await app.stop()


async def test_a_host_that_starts_in_an_outage_asks_its_seeds():
    server = KvServer()
    async with serve_app(server.app()) as url:
        store = HttpStore(StoreSettings(url))
        config = demo_config("http://127.0.0.1:9", "http://127.0.0.1:9")
        await publish(store, lambda base: config)
        await add_withdrawal(store, fingerprint(digest_key(DEMO_KEY)))
        await store.close()
        async with host(url, "host-1") as first:
            server.set_faults(StoreFaults(down=True))
            seed = f"127.0.0.1:{first.peers.port}"
            async with host(url, "host-2", (seed,)) as second:
                assert second.config.current == first.config.current
                assert second.config.current.revision == 1
                refusal = second.keys.identify(DEMO_KEY).failure()
                assert refusal.code == "key_unknown"
                assert set(second.membership.hosts) == {"host-1", "host-2"}


@pytest.mark.parametrize("seed", ["10.0.0.1", ":80", "10.0.0.1:x"])
def test_seeds_are_addresses(seed):
    with pytest.raises(ValueError, match="is not ip:port"):
        seed_addresses([seed])
