"""Process of the ``overhead`` benchmark: engine, bare relay or host.

Prints its base URL and serves until it is killed.
"""

import asyncio
import sys

from aiohttp import web

from bench._relay import BareRelay
from magnoliaroad.app import HostApplication
from magnoliaroad.config.publish import publish
from magnoliaroad.gc_tuning import tune_gc
from magnoliaroad.logs import setup_logs
from magnoliaroad.logs.settings import LogSettings
from magnoliaroad.standins.deployment import demo_config, demo_settings
from magnoliaroad.standins.engine_server import EngineServer
from magnoliaroad.standins.kv_server import KvServer
from magnoliaroad.standins.serve_app import serve_app
from magnoliaroad.store.client import HttpStore
from magnoliaroad.store.settings import StoreSettings

RATE = 1e6


async def serve(app: web.Application) -> None:
    async with serve_app(app) as url:
        print(url, flush=True)
        await asyncio.Event().wait()


async def serve_host(engine_url: str) -> None:
    """Runs a host with its store; log lines are written to ``/dev/null``."""
    setup_logs(LogSettings(path="/dev/null"))
    async with serve_app(KvServer().app()) as store_url:
        config = demo_config(engine_url, engine_url)
        team = config.teams["arcades"]._replace(
            rate=RATE, burst=RATE, program_budget=10**12
        )
        store = HttpStore(StoreSettings(store_url))
        await publish(store, lambda base: config._replace(teams={team.name: team}))
        await store.close()
        app = HostApplication(demo_settings(store_url))
        await app.start()
        tune_gc()
        print(f"http://127.0.0.1:{app.entry.port}", flush=True)
        await asyncio.Event().wait()


def main() -> None:
    kind, *rest = sys.argv[1:]
    if kind == "engine":
        engine = EngineServer(step_s=0.0, answer_tokens=int(rest[0]))
        asyncio.run(serve(engine.app()))
    elif kind == "relay":
        asyncio.run(serve(BareRelay(rest[0]).app()))
    else:
        asyncio.run(serve_host(rest[0]))


if __name__ == "__main__":
    main()
