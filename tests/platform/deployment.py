"""Relay hosts, a record host and stand-ins in one process."""

import asyncio
import itertools

import aiohttp
from magnoliaroad_platform.dialect import PlatformDialect
from magnoliaroad_platform.entry_decoder import PlatformEntryDecoder
from magnoliaroad_platform.store import PlatformStore

from magnoliaroad.relay.app import RelayApplication
from magnoliaroad.relay.record_app import RecordApplication
from magnoliaroad.relay.settings import DrainSettings, RelayListen, RelaySettings
from magnoliaroad.store.settings import StoreSettings
from tests.fakes.ports import free_port
from tests.platform.kv_standin import KvStandin

KEY = "secret-of-league"
# Value of the ``Authorization`` header of a team without a limit.
UNLIMITED = "Bearer secret-of-other"
# Most exchanges at the same time; the queue of a listening socket holds twice as many.
MAX_EXCHANGES = 50


def free_address():
    return f"127.0.0.1:{free_port()}"


def route(name, prefix, kind, service, **changes):
    fields = {
        "name": name,
        "host": "arcade.example",
        "path_prefix": prefix,
        "kind": kind,
        "timeout_ms": 2000,
        "target_latency_ms": 250,
        "priority": 0,
        "service": service,
        "max_attempts": 2,
    }
    return {**fields, **changes}


def config(version=3, **changes):
    fields = {
        "version": version,
        "routes": [
            route("safe", "/safe/", "safe", "app"),
            route("pay", "/pay/", "unsafe", "app"),
            route("open", "/open/", "safe", "app", auth_exempt=True),
            route("chat", "/stream/", "streaming", "lm", retain=True, retention_s=60.0),
            route("plan", "/plan/", "streaming", "lm", resumable=True),
            route("talk", "/talk/", "streaming", "lm"),
        ],
        "services": [
            {"name": "app", "health_path": "/health", "max_conns": 100},
            {
                "name": "lm",
                "health_path": "/health",
                "max_conns": 100,
                "engine": {"slots": 8, "tokens_per_event": 10},
            },
        ],
        "limits": {"max_body_bytes": 1000000, "idle_timeout_ms": 15000},
        "tenants": [
            {"name": "league", "api_keys": [KEY], "rate_per_s": 500, "burst": 500},
            {"name": "other", "api_keys": ["secret-of-other"]},
        ],
    }
    return {**fields, **changes}


def without_memory_watch(app):
    """Leaves the memory of the test's process alone.

    It has all hosts, targets and callers, and what earlier tests left.
    """
    app.memory._read_resident = lambda: 0
    return app


class Deployment:
    """Relay hosts with stand-ins of the store and the targets, for one test.

    Args:
        escrow: Whether a record host grants a part of each budget.
    """

    def __init__(self, tmp_path, *targets, hosts=1, escrow=False):
        self.tmp_path = tmp_path
        self.targets = targets
        self.kv = KvStandin()
        self.hosts = hosts
        self.escrow = escrow
        self.relays = []
        self.records = None
        self.exchange_slots = asyncio.Semaphore(MAX_EXCHANGES)
        self._ids = itertools.count(1)

    async def __aenter__(self):
        await self.kv.start()
        self.kv.write("op/config", config())
        for target in self.targets:
            await target.start()
            self.kv.write(f"servers/{target.name}", target.entry())
        for number in range(self.hosts):
            relay = self.application(number)
            await relay.start()
            self.relays.append(relay)
        await self.until(lambda: all(relay._ready() for relay in self.relays))
        self.session = aiohttp.ClientSession(
            auto_decompress=False, skip_auto_headers=["Accept-Encoding"]
        )
        return self

    async def __aexit__(self, *exc_info):
        await self.session.close()
        for relay in self.relays:
            await relay.stop()
        if self.records is not None:
            await self.records.stop()
        for target in self.targets:
            await target.stop()
        await self.kv.stop()

    async def restart_relays(self):
        """Stops all relay hosts, then starts them again under the same names."""
        for relay in self.relays:
            await relay.stop()
        self.relays = [self.application(number) for number in range(self.hosts)]
        for relay in self.relays:
            await relay.start()
        await self.until(lambda: all(relay._ready() for relay in self.relays))

    def settings(self, name, **listen):
        return RelaySettings(
            name=name,
            data_centre="dc-1",
            listen=RelayListen(free_address(), free_address(), **listen),
            store=StoreSettings(self.kv.url),
            data_folder=str(self.tmp_path),
            data_centres=("dc-1",) if self.escrow else (),
            first_start=True,
            drain=DrainSettings(notice_s=0.3, limit_s=4.0),
        )

    def application(self, number=0):
        cfg = self.settings(
            f"relay-{number}", callers=free_address(), ready=free_address()
        )
        store, decoder = PlatformStore(cfg.store), PlatformEntryDecoder()
        return without_memory_watch(
            RelayApplication(cfg, store, PlatformDialect(), decoder)
        )

    def record_application(self):
        cfg = self.settings("records-1")
        store, decoder = PlatformStore(cfg.store), PlatformEntryDecoder()
        return without_memory_watch(RecordApplication(cfg, store, decoder))

    async def start_records(self):
        self.records = self.record_application()
        await self.records.start()
        await self.until(lambda: self.relays[0].records.has_live_host, 10.0)

    async def until(self, condition, limit_s=5.0):
        async with asyncio.timeout(limit_s):
            while not condition():
                await asyncio.sleep(0.01)

    def headers(self, **changes):
        headers = {
            "Host": "arcade.example",
            "Authorization": f"Bearer {KEY}",
            "Magnoliaroad-Request-Id": f"request-{next(self._ids)}",
            "Magnoliaroad-Deadline-Ms": "2000",
        }
        headers.update({name.replace("_", "-"): v for name, v in changes.items()})
        return {name: value for name, value in headers.items() if value is not None}

    async def call(self, path, method="GET", body=b"", relay=0, **headers):
        """Returns status, headers and body; the body is ``None`` if it was cut."""
        url = f"http://{self.relays[relay].cfg.listen.callers}{path}"
        sent = self.headers(**headers)
        async with self.session.request(
            method, url, data=body or None, headers=sent
        ) as resp:
            try:
                return resp.status, resp.headers, await resp.read()
            except aiohttp.ClientPayloadError:
                return resp.status, resp.headers, None

    async def turn(self, body=b"input", program="p-1", budget=None, **headers):
        """Sends a turn; returns its status, request id and body."""
        named = {
            "Magnoliaroad_Program_Id": program,
            "Magnoliaroad_Token_Count": "100,100",
            "Magnoliaroad_Request_Id": f"turn-{next(self._ids)}",
        }
        if budget is not None:
            named["Magnoliaroad_Token_Budget"] = str(budget)
        named.update(headers)
        status, _, answer = await self.call("/stream/t", "POST", body, **named)
        return status, named["Magnoliaroad_Request_Id"], answer
