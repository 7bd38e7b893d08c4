"""Runs a host in front of a given target."""

import contextlib

from magnoliaroad.app import HostApplication
from magnoliaroad.config.publish import publish
from magnoliaroad.entry.settings import EntrySettings
from magnoliaroad.standins.deployment import DEMO_KEY, demo_config, demo_settings
from magnoliaroad.standins.kv_server import KvServer
from magnoliaroad.standins.serve_app import serve_app
from magnoliaroad.store.client import HttpStore
from magnoliaroad.store.settings import StoreSettings

HEADERS = {"Authorization": f"Bearer {DEMO_KEY}"}
UNUSED_URL = "http://127.0.0.1:9"


@contextlib.asynccontextmanager
async def host_with_target(engine_app, edit=lambda config, url: config, **settings):
    """Runs a host with the target ``engine_app``; yields the host and its URL.

    ``edit`` changes the configuration; ``settings`` replaces fields of the host's
    settings.
    """
    async with (
        serve_app(KvServer().app()) as store_url,
        serve_app(engine_app) as engine_url,
    ):
        config = edit(demo_config(engine_url, UNUSED_URL), engine_url)
        store = HttpStore(StoreSettings(store_url))
        await publish(store, lambda base: config)
        await store.close()
        settings.setdefault("entry", EntrySettings(drain_notice_s=0.0))
        app = HostApplication(demo_settings(store_url)._replace(**settings))
        await app.start()
        try:
            yield app, f"http://127.0.0.1:{app.entry.port}"
        finally:
            await app.stop()


def chat_body(text="hello", stream=False, **fields):
    messages = [{"role": "user", "content": text}]
    return {"model": "planner", "messages": messages, "stream": stream, **fields}
