"""A deployment in one process: stand-ins and one host."""

import contextlib
from collections.abc import AsyncIterator
from typing import NamedTuple

from magnoliaroad.app import HostApplication
from magnoliaroad.config import Config, KeyGrant, Route, RouteKind, Target, Team
from magnoliaroad.config.publish import publish
from magnoliaroad.entry.listen import ListenSettings
from magnoliaroad.keys import digest_key
from magnoliaroad.settings import HostSettings
from magnoliaroad.standins.engine_server import EngineServer
from magnoliaroad.standins.kv_server import KvServer
from magnoliaroad.standins.serve_app import serve_app
from magnoliaroad.standins.service_server import ServiceServer
from magnoliaroad.store.client import HttpStore
from magnoliaroad.store.settings import StoreSettings

DEMO_KEY = "mr-demo-key"
DATA_CENTRE = "kolkata-1"


class Deployment(NamedTuple):
    """The running parts of a deployment.

    Attributes:
        url: Base URL of the host.
        headers: Request headers with the caller's key.
        app: The host application.
        store: Stand-in for the key-value service.
        engine: Stand-in for the model engine.
        service: Stand-in for the plain service.
    """

    url: str
    headers: dict[str, str]
    app: HostApplication
    store: KvServer
    engine: EngineServer
    service: ServiceServer


@contextlib.asynccontextmanager
async def deployment() -> AsyncIterator[Deployment]:
    """Runs a store, an engine, a service and one host until the block ends."""
    store, engine, service = KvServer(), EngineServer(), ServiceServer()
    async with (
        serve_app(store.app()) as store_url,
        serve_app(engine.app()) as engine_url,
        serve_app(service.app()) as service_url,
    ):
        await _configure(store_url, demo_config(engine_url, service_url))
        app = HostApplication(demo_settings(store_url))
        await app.start()
        try:
            yield Deployment(
                url=f"http://127.0.0.1:{app.entry.port}",
                headers={"Authorization": f"Bearer {DEMO_KEY}"},
                app=app,
                store=store,
                engine=engine,
                service=service,
            )
        finally:
            await app.stop()


def demo_settings(store_url: str, name: str = "host-1") -> HostSettings:
    """Returns the settings of a host that listens on loopback, on free ports."""
    return HostSettings(
        name=name,
        data_centre=DATA_CENTRE,
        listen=ListenSettings("127.0.0.1", http_port=0, peer_port=0),
        store=StoreSettings(store_url),
    )


def demo_config(engine_url: str, service_url: str) -> Config:
    """Returns a configuration with one team, one engine and one service."""
    digest = digest_key(DEMO_KEY)
    team = Team("arcades", rate=100.0, burst=100.0)
    planner = Route("planner", RouteKind.ENGINE, teams=("arcades",))
    payouts = Route("payouts", RouteKind.SERVICE, ("arcades",), repeatable=False)
    engine = Target("engine-1", "planner", engine_url, DATA_CENTRE)
    service = Target("records-1", "payouts", service_url, DATA_CENTRE)
    return Config(
        revision=1,
        teams={team.name: team},
        grants={digest: KeyGrant("demo", team.name, digest)},
        routes={route.name: route for route in (planner, payouts)},
        targets={target.name: target for target in (engine, service)},
    )


async def _configure(store_url: str, config: Config) -> None:
    store = HttpStore(StoreSettings(store_url))
    try:
        await publish(store, lambda base: config)
    finally:
        await store.close()
