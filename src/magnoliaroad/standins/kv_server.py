"""HTTP stand-in for the platform's key-value service."""

import asyncio
import collections
import copy
import time
from typing import Any

import msgpack
from aiohttp import web

from magnoliaroad.event_wait import wait_for_event
from magnoliaroad.standins.faults import StoreFaults
from magnoliaroad.standins.kv_state import KvState
from magnoliaroad.store import LeaseLost, StoreConflict

READS = frozenset({"get", "list", "watch"})


class KvServer:
    """Serves a ``KvState`` and counts calls; faults can be set at run time."""

    def __init__(self) -> None:
        self.state = KvState()
        self.faults = StoreFaults()
        self.calls: collections.Counter[str] = collections.Counter()
        self._read_state = self.state
        self._changed = asyncio.Event()
        self._recent_calls: collections.deque[float] = collections.deque()

    def app(self) -> web.Application:
        """Returns the aiohttp application."""
        app = web.Application(client_max_size=2_000_000)
        app.router.add_post("/v1/{operation}", self._serve)
        app.router.add_post("/standin/faults", self._set_faults)
        app.router.add_get("/standin/calls", self._show_calls)
        return app

    def set_faults(self, faults: StoreFaults) -> None:
        """Replaces the faults that are switched on."""
        self.faults = faults
        self._read_state = copy.deepcopy(self.state) if faults.stale else self.state

    async def _set_faults(self, req: web.Request) -> web.Response:
        self.set_faults(StoreFaults(**await req.json()))
        return web.json_response({})

    async def _show_calls(self, req: web.Request) -> web.Response:
        return web.json_response(self.calls)

    async def _serve(self, req: web.Request) -> web.Response:
        operation = req.match_info["operation"]
        self.calls[operation] += 1
        fields = msgpack.unpackb(await req.read())
        if self._over_rate():
            return web.Response(status=429)
        if self.faults.delay_s:
            await asyncio.sleep(self.faults.delay_s)
        if self.faults.down:
            return await self._drop_connection(req)
        self.state.expire(time.monotonic())
        resp = await self._respond(operation, fields)
        if self.faults.lose_answers or self.faults.down:
            return await self._drop_connection(req)
        return resp

    def _over_rate(self) -> bool:
        limit = self.faults.calls_per_s
        now = time.monotonic()
        while self._recent_calls and self._recent_calls[0] < now - 1.0:
            self._recent_calls.popleft()
        if limit and len(self._recent_calls) >= limit:
            return True
        self._recent_calls.append(now)
        return False

    async def _drop_connection(self, req: web.Request) -> web.Response:
        assert req.transport is not None
        req.transport.abort()
        return web.Response(status=503)

    async def _respond(self, operation: str, fields: dict[str, Any]) -> web.Response:
        try:
            answer = await self._execute(operation, fields)
        except StoreConflict as exc:
            return web.Response(status=409, body=msgpack.packb(exc.current))
        except LeaseLost:
            return web.Response(status=410)
        if operation not in READS:
            self._changed.set()
            self._changed = asyncio.Event()
        return web.Response(body=msgpack.packb(answer))

    async def _execute(self, operation: str, fields: dict[str, Any]) -> Any:
        if operation == "watch":
            return await self._watch(**fields)
        if operation in ("grant_lease", "renew_lease"):
            fields["now"] = time.monotonic()
        state = self._read_state if operation in READS else self.state
        return getattr(state, operation)(**fields)

    async def _watch(self, prefix: str, after: int, timeout_s: float) -> Any:
        deadline = time.monotonic() + timeout_s
        while not self.faults.down:
            self.state.expire(time.monotonic())
            batch = self._read_state.changes(prefix, after)
            left_s = deadline - time.monotonic()
            if batch.changed or batch.deleted or left_s <= 0:
                return batch
            await wait_for_event(self._changed, min(left_s, 0.5))
        return self._read_state.changes(prefix, after)
