"""Answers to the store client that cannot be used count as none (FAULT)."""

import copy

import msgpack
import pytest
from aiohttp import web

from magnoliaroad.store import StoreConflict, StoreUnavailable
from magnoliaroad.store.client import HttpStore
from magnoliaroad.store.settings import StoreSettings
from magnoliaroad.verdict import Verdict

MISSING = object()
BAD = {
    "missing": MISSING,
    "null": None,
    "true": True,
    "fraction": 1.5,
    "negative": -1,
    "above 63 bits": 2**63,
    "text": "!",
    "bytes": b"!",
    "large text": "!" * 100_000,
    "array": [1, None],
    "object": {"a": 1},
    "number": 5,
}
ENTRY = ["p/a", b"1", 3]
BATCH = [[ENTRY, ["p/b", b"2", 4]], ["p/c"], 9]
NUMBER = {"number"}
BYTES = {"bytes"}
# A sound answer of each call, and the kinds in ``BAD`` that its fields may hold.
CALLS = {
    "get": (
        lambda s: s.get("p/a"),
        ENTRY,
        {(): {"null"}, (0,): {}, (1,): BYTES, (2,): NUMBER},
    ),
    "list": (
        lambda s: s.list("p/"),
        BATCH,
        {
            (): {},
            (0,): {},
            (0, 0): {"missing"},
            (0, 0, 0): {},
            (0, 0, 1): BYTES,
            (0, 0, 2): NUMBER,
            (1,): {},
            (1, 0): {"missing"},
            (2,): NUMBER,
        },
    ),
    "put": (lambda s: s.put("p/a", b"1"), 5, {(): NUMBER}),
    "grant_lease": (lambda s: s.grant_lease(60.0), 5, {(): NUMBER}),
    "delete": (lambda s: s.delete("p/a"), None, {(): {"null"}}),
    "renew_lease": (lambda s: s.renew_lease(1), None, {(): {"null"}}),
    "revoke_lease": (lambda s: s.revoke_lease(1), None, {(): {"null"}}),
    "conflict": (
        lambda s: s.put("p/a", b"1", expected=1),
        ENTRY,
        {(): {"null"}, (0,): {}, (1,): BYTES, (2,): NUMBER},
    ),
}
CALLS["watch"] = (lambda s: s.watch("p/", 0, 0.1), *CALLS["list"][1:])
CASES = [
    (name, path, kind)
    for name, (_, _, fields) in CALLS.items()
    for path, allowed in fields.items()
    for kind in BAD
    if kind not in allowed and (path or kind != "missing")
]


def changed(answer, path, value):
    """Returns a copy of ``answer`` with ``value`` at ``path``, as msgpack."""
    holder = [copy.deepcopy(answer)]
    place, last = holder, 0
    for index in path:
        place, last = place[last], index
    if value is MISSING:
        del place[last]
    else:
        place[last] = value
    return msgpack.packb(holder[0])


class Server:
    """Answers all calls with ``status`` and ``body``; counts the bytes of a body.

    Attributes:
        endless: Whether bodies have no end.
    """

    def __init__(self):
        self.status = 200
        self.body = b""
        self.endless = False
        self.sent = 0

    async def answer(self, req):
        if not self.endless:
            return web.Response(status=self.status, body=self.body)
        resp = web.StreamResponse(status=self.status)
        await resp.prepare(req)
        while self.sent < 200_000_000:
            await resp.write(b" " * 100_000)
            self.sent += 100_000
        return resp


@pytest.fixture
async def server():
    return Server()


@pytest.fixture
async def store(server):
    app = web.Application()
    app.router.add_post("/v1/{operation}", server.answer)
    runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.1)
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", 0).start()
    url = f"http://127.0.0.1:{runner.addresses[0][1]}"
    store = HttpStore(StoreSettings(url, timeout_s=20.0))
    yield store
    await store.close()
    await runner.cleanup()


@pytest.mark.parametrize("name", CALLS)
async def test_a_sound_answer_is_read(server, store, name):
    send, answer, _ = CALLS[name]
    server.body = msgpack.packb(answer)
    if name == "conflict":
        server.status = 409
        with pytest.raises(StoreConflict):
            await send(store)
    else:
        await send(store)


@pytest.mark.parametrize(("name", "path", "kind"), CASES)
async def test_an_answer_with_a_bad_field_is_none(server, store, name, path, kind):
    send, answer, _ = CALLS[name]
    server.body = changed(answer, path, BAD[kind])
    server.status = 409 if name == "conflict" else 200
    with pytest.raises(StoreUnavailable) as caught:
        await send(store)
    assert caught.value.verdict is Verdict.MAY_HAVE_RUN
    assert len(str(caught.value)) < 400


@pytest.mark.parametrize("name", CALLS)
@pytest.mark.parametrize("body", [b"", b"\xc1", b"\x91" * 100_000, b"\xdd\xff\xff\xff"])
async def test_bytes_that_are_no_answer_are_none(server, store, name, body):
    server.body = body
    with pytest.raises(StoreUnavailable):
        await CALLS[name][0](store)


@pytest.mark.parametrize("name", CALLS)
async def test_a_body_without_an_end_is_cut_at_a_bound(server, store, name):
    server.endless = True
    with pytest.raises(StoreUnavailable):
        await CALLS[name][0](store)
    assert 0 < server.sent < 50_000_000
