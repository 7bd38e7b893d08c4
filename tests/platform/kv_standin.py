"""A stand-in for the platform's store that follows its published protocol."""

import asyncio
import base64
import contextlib
import json
import time
from collections import Counter

from aiohttp import web

from magnoliaroad.standins.kv_state import KvState
from magnoliaroad.store import LeaseLost, StoreConflict, StorePut, StoreRejected

WATCH_POLL_INTERVAL_S = 0.02
MAX_WATCH_MS = 30_000
MAX_TXN_ENTRIES = 32
MIN_LEASE_MS = 1000
# Keys that only the operator and the targets write.
RESERVED_PREFIXES = ("op/", "servers/")
PAGE_SIZE = 3


class KvStandin:
    """Serves a ``KvState`` over HTTP, with the faults that the platform documents.

    Attributes:
        fault: One of ``None``, ``"busy"`` (503), ``"many"`` (429), ``"reset"``,
            ``"silent"``, ``"lost"`` (applied but not answered).
        delay_s: Time that each call takes, in seconds.
        history_gone: Whether the next watch is answered with 410, history dropped.
        watches_hang: Whether watches return no events, whatever changes.
        replace_answer: Coroutine function that is called with each request and its
            answer, and returns the answer that is sent instead.
        open_watches: Number of watches that wait for events, by prefix.
        most_open_watches: Largest number of these at any time.
    """

    def __init__(self):
        self.state = KvState()
        self.state.revision = 7
        self.fault = None
        self.delay_s = 0.0
        self.history_gone = False
        self.watches_hang = False
        self.replace_answer = None
        self.calls = []
        self.open_watches = Counter()
        self.most_open_watches = Counter()
        self._runner = None
        self.url = ""

    async def start(self):
        app = web.Application()
        app.router.add_route("*", "/{path:.*}", self._handle)
        self._runner = web.AppRunner(
            app, access_log=None, handler_cancellation=True, shutdown_timeout=0.1
        )
        await self._runner.setup()
        await web.TCPSite(self._runner, "127.0.0.1", 0).start()
        self.url = f"http://127.0.0.1:{self._runner.addresses[0][1]}"
        return self

    async def stop(self):
        await self._runner.cleanup()

    async def _handle(self, req):
        stale = " stale" if req.query.get("stale_ok") == "1" else ""
        self.calls.append(f"{req.method} {req.path}{stale}")
        self.state.expire(time.monotonic())
        if self.fault == "busy":
            return web.Response(status=503)
        if self.fault == "many":
            return web.Response(status=429)
        if self.fault == "reset":
            req.transport.abort()
            return web.Response()
        if self.fault == "silent":
            await asyncio.sleep(30)
        await asyncio.sleep(self.delay_s)
        try:
            resp = await self._answer(req)
        except StoreConflict as exc:
            items = [item(entry) for entry in exc.entries]
            resp = web.json_response({"items": items}, status=412)
        except LeaseLost:
            resp = web.Response(status=404)
        except StoreRejected:
            resp = web.Response(status=400)
        if self.fault == "lost":
            req.transport.abort()
        if self.replace_answer is not None:
            return await self.replace_answer(req, resp)
        return resp

    async def _answer(self, req):
        path, query = req.path, req.query
        if path == "/-/kv-key":
            entry = self.state.get(query["key"])
            if entry is None:
                return web.Response(status=404)
            return web.json_response({**item(entry), "as_of": self.state.revision})
        if path == "/-/kv-range":
            return self._range(query)
        if path == "/-/kv-watch":
            with self._open_watch(query["path_prefix"]):
                return await self._watch(query)
        if path == "/-/kv-txn":
            return self._txn(await req.json())
        if path == "/-/kv-lease":
            ttl_ms = (await req.json())["ttl_ms"]
            if ttl_ms < MIN_LEASE_MS:
                raise StoreRejected(f"lease of {ttl_ms} ms")
            lease = self.state.grant_lease(ttl_ms / 1000, time.monotonic())
            return web.json_response({"lease": lease, "ttl_ms": ttl_ms})
        if path.startswith("/-/kv-keep/"):
            lease = int(path.rpartition("/")[2])
            self.state.renew_lease(lease, time.monotonic())
            return web.json_response({"ttl_ms": 1000})
        if path.startswith("/-/kv-lease-end/"):
            self.state.revoke_lease(int(path.rpartition("/")[2]))
            return web.json_response({})
        return web.Response(status=400)

    def _range(self, query):
        found = sorted(
            e
            for e in self.state.list(query["path_prefix"]).changed
            if e.key > query.get("after", "")
        )
        body = {
            "items": [item(entry) for entry in found[:PAGE_SIZE]],
            "more_pages": len(found) > PAGE_SIZE,
            "as_of": self.state.revision,
        }
        return web.json_response(body)

    @contextlib.contextmanager
    def _open_watch(self, prefix):
        self.open_watches[prefix] += 1
        most = max(self.most_open_watches[prefix], self.open_watches[prefix])
        self.most_open_watches[prefix] = most
        try:
            yield
        finally:
            self.open_watches[prefix] -= 1

    async def _watch(self, query):
        if self.history_gone:
            self.history_gone = False
            return web.Response(status=410)
        after = int(query["after"])
        if int(query["wait_ms"]) > MAX_WATCH_MS:
            raise StoreRejected(f"watch of {query['wait_ms']} ms")
        ends = time.monotonic() + int(query["wait_ms"]) / 1000
        while True:
            batch = self.state.changes(query["path_prefix"], after)
            has_events = (batch.changed or batch.deleted) and not self.watches_hang
            if has_events or time.monotonic() >= ends:
                events = [item(entry) for entry in batch.changed]
                events += [
                    {"key": key, "revision": batch.revision, "deleted": True}
                    for key in batch.deleted
                ]
                if self.watches_hang:
                    events = []
                return web.json_response({"events": events, "as_of": batch.revision})
            await asyncio.sleep(WATCH_POLL_INTERVAL_S)

    def _txn(self, body):
        changed = [put["key"] for put in body["puts"]] + body["remove"]
        if any(key.startswith(RESERVED_PREFIXES) for key in changed):
            return web.Response(status=403)
        entries = len(changed) + len(body["expected_rev"])
        if entries > MAX_TXN_ENTRIES:
            raise StoreRejected(f"{entries} entries")
        rows = {row["key"]: row["revision"] for row in body["expected_rev"]}
        now = {key: self.state.get(key) for key in rows}
        for key, revision in rows.items():
            if revision != (now[key].revision if now[key] else 0):
                raise StoreConflict(key, now[key], list(filter(None, now.values())))
        for put in body["puts"]:
            if put["lease"] and put["lease"] not in self.state._deadline:
                raise LeaseLost(str(put["lease"]))
        puts = [
            StorePut(p["key"], base64.b64decode(p["value"]), p["lease"] or None)
            for p in body["puts"]
        ]
        self.state.put_many(puts)
        for key in body["remove"]:
            self.state.delete(key)
        return web.json_response({"revision": self.state.revision})

    def write(self, key, document):
        self.write_bytes(key, json.dumps(document).encode())

    def write_bytes(self, key, value):
        """Writes an entry as another writer might, also one that is not JSON."""
        self.state.put(key, value)

    def delete(self, key):
        """Deletes an entry, as the end of its lease does."""
        self.state.delete(key, None)


def item(entry):
    return {
        "key": entry.key,
        "value": base64.b64encode(entry.value).decode(),
        "revision": entry.revision,
        "create_rev": entry.revision,
        "lease": 0,
    }
