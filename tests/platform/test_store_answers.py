"""Answers of the platform's store that cannot be used count as none (FAULT)."""

import asyncio
import copy
import json
from collections.abc import Awaitable, Callable, Collection
from typing import Any, NamedTuple

import pytest
from aiohttp import web
from magnoliaroad_platform.store import PlatformStore

from magnoliaroad.store import StoreConflict, StorePut, StoreUnavailable
from magnoliaroad.store.settings import StoreSettings
from magnoliaroad.verdict import Verdict
from tests.platform.kv_standin import KvStandin

DEEP = "DEEP"
MISSING = object()
# JSON that cannot be used in most fields.
BAD = {
    "missing": MISSING,
    "null": None,
    "true": True,
    "fraction": 1.5,
    "negative": -1,
    "above 63 bits": 2**63,
    "above 64 bits": 2**100,
    "deep": DEEP,
    "number": 5,
    "text": "!",
    "large text": "!" * 100_000,
    "array": [1, None],
    "object": {"a": 1},
}
# Kinds of these that some fields may hold.
NONE = frozenset()
NUMBERS = {"number"}


class Call(NamedTuple):
    """A call, and the fields of its answer.

    Attributes:
        send: Makes the call.
        fields: The kinds in ``BAD`` that a field may hold, by its path.
    """

    send: Callable[[PlatformStore], Awaitable[Any]]
    fields: dict[tuple[str | int, ...], Collection[str]]


def entry(*path):
    """Returns the fields of an entry at ``path``, which a list may leave out."""
    return {
        path: {"missing"},
        (*path, "key"): NONE,
        (*path, "value"): NONE,
        (*path, "revision"): NUMBERS,
    }


CALLS = {
    "get": Call(lambda s: s.get("p/a"), entry()),
    "ping": Call(lambda s: s.ping("p/a"), entry()),
    "list": Call(
        lambda s: s.list("p/"),
        {
            (): NONE,
            ("items",): NONE,
            ("as_of",): NONE,
            ("more_pages",): {"true"},
            **entry("items", 1),
        },
    ),
    "watch": Call(
        lambda s: s.watch("p/", 10, 0.1),
        {
            (): NONE,
            ("events",): NONE,
            ("as_of",): NONE,
            **entry("events", 0),
            ("events", 0, "deleted"): {"missing", "true"},
            ("events", -1): {"missing"},
            ("events", -1, "key"): NONE,
            ("events", -1, "revision"): NUMBERS,
            ("events", -1, "deleted"): {"true"},
        },
    ),
    "put": Call(
        lambda s: s.put("p/a", b"2", expected=9), {(): NONE, ("revision",): NONE}
    ),
    "delete": Call(lambda s: s.delete("p/a"), {(): NONE, ("revision",): NUMBERS}),
    "conflict": Call(
        lambda s: s.put("p/a", b"2", expected=1),
        {(): NONE, ("items",): NONE, **entry("items", 0)},
    ),
    "grant": Call(
        lambda s: s.grant_lease(60.0),
        {(): NONE, ("lease",): NUMBERS, ("ttl_ms",): NUMBERS},
    ),
    "renew": Call(
        lambda s: s.renew_lease(1), {(): {"object"}, ("ttl_ms",): {"missing", "number"}}
    ),
    "revoke": Call(lambda s: s.revoke_lease(1), {(): {"object"}}),
}
CASES = [
    (name, path, kind)
    for name, call in CALLS.items()
    for path, allowed in call.fields.items()
    for kind in BAD
    if kind not in allowed and (path or kind != "missing")
]


def changed(document, path, value):
    """Returns a copy of ``document`` with ``value`` at ``path``, as JSON."""
    holder = {"answer": copy.deepcopy(document)}
    place, last = holder, "answer"
    for name in path:
        place, last = place[last], name
    if value is MISSING:
        del place[last]
    else:
        place[last] = value
    text = json.dumps(holder["answer"])
    return text.replace(f'"{DEEP}"', "[" * 50_000 + "]" * 50_000).encode()


@pytest.fixture
async def kv():
    """The stand-in at revision 10, with ``p/a`` written at 9 and ``p/b`` at 10."""
    standin = await KvStandin().start()
    standin.write("p/c", 1)
    standin.write("p/a", 1)
    standin.write("p/b", 1)
    yield standin
    await standin.stop()


@pytest.fixture
async def store(kv):
    store = PlatformStore(StoreSettings(kv.url, timeout_s=20.0))
    yield store
    await store.close()


@pytest.mark.parametrize(("name", "path", "kind"), CASES)
async def test_an_answer_with_a_bad_field_is_none(kv, store, name, path, kind):
    await store.grant_lease(60.0)
    sent = {}

    async def replace(req, resp):
        document = json.loads(resp.body)
        if name == "watch":
            # The last event is a deletion.
            assert kv.state.revision == 12
            assert document["events"][-1]["deleted"]
        sent["body"] = changed(document, path, BAD[kind])
        return web.Response(
            status=resp.status, body=sent["body"], content_type="application/json"
        )

    kv.replace_answer = replace
    if name == "watch":
        kv.write("p/d", 1)
        kv.delete("p/c")
    with pytest.raises(StoreUnavailable) as caught:
        await CALLS[name].send(store)
    assert sent
    assert caught.value.verdict is Verdict.MAY_HAVE_RUN
    assert len(str(caught.value)) < 400


def answer_with(kv, *documents, status=200):
    """Lets the stand-in give these answers in turn, the last one from then on."""
    remaining = list(documents)

    async def replace(req, resp):
        body = remaining.pop(0) if len(remaining) > 1 else remaining[0]
        return web.json_response(body, status=status)

    kv.replace_answer = replace


def page(*keys, more=True, as_of=10, revision=3):
    items = [{"key": key, "value": "", "revision": revision} for key in keys]
    return {"items": items, "more_pages": more, "as_of": as_of}


@pytest.mark.parametrize(
    "pages",
    [
        [page("p/a")],
        [page("p/a"), page("p/b"), page("p/a"), page("p/b", more=False)],
        [page()],
        [page("p/a", as_of=0, more=False)],
        [page("p/a", as_of=2, more=False)],
        [page("q/a", more=False)],
    ],
    ids=["repeated", "going back", "empty", "revision 0", "newer entry", "other key"],
)
async def test_pages_that_do_not_go_on_are_no_answer(kv, store, pages):
    answer_with(kv, *pages)
    async with asyncio.timeout(5.0):
        with pytest.raises(StoreUnavailable):
            await store.list("p/")


@pytest.mark.parametrize(
    "answer",
    [
        {"events": [], "as_of": 9},
        {"events": page("p/a")["items"], "as_of": 10},
        {"events": page("q/a")["items"], "as_of": 11},
        {"events": page("p/a", revision=12)["items"], "as_of": 11},
    ],
    ids=["going back", "not growing", "other key", "newer entry"],
)
async def test_a_watch_that_does_not_go_on_is_no_answer(kv, store, answer):
    answer_with(kv, answer)
    with pytest.raises(StoreUnavailable):
        await store.watch("p/", 10, 0.1)


@pytest.mark.parametrize("expected", [10, 11])
async def test_a_written_revision_that_does_not_grow_is_no_answer(kv, store, expected):
    answer_with(kv, {"revision": 10})
    with pytest.raises(StoreUnavailable):
        await store.put_many([StorePut("p/a", b"", expected=expected)])


@pytest.mark.parametrize(
    "items", [page("p/other")["items"], page("p/a", "p/other")["items"]]
)
async def test_a_conflict_of_other_keys_is_no_answer(kv, store, items):
    answer_with(kv, {"items": items}, status=412)
    with pytest.raises(StoreUnavailable):
        await store.put("p/a", b"2", expected=1)


@pytest.mark.parametrize("items", [[], [{"key": "p/a", "revision": 0}]])
async def test_a_conflict_with_a_key_that_does_not_exist(kv, store, items):
    answer_with(kv, {"items": items}, status=412)
    with pytest.raises(StoreConflict) as caught:
        await store.put("p/a", b"2", expected=1)
    assert caught.value.current is None
    assert not caught.value.entries


async def test_another_answer_to_a_get_is_none(kv, store):
    answer_with(kv, page("p/b")["items"][0])
    with pytest.raises(StoreUnavailable):
        await store.get("p/a")


def raw(data):
    async def replace(req, resp):
        req.transport.write(data)
        req.transport.close()
        return resp

    return replace


BAD_BODIES = {
    "cut": raw(b"HTTP/1.1 200 OK\r\nContent-Length: 900\r\n\r\n{"),
    "cut chunk": raw(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\n{}"),
    "bad chunk": raw(
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n{}\r\n0\r\n\r\n"
    ),
    "no HTTP": raw(b"x" * 100_000),
    "empty": raw(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"),
    "redirect": raw(
        b"HTTP/1.1 303 See Other\r\nLocation: /-/kv-range?path_prefix=p/\r\n"
        b"Content-Length: 2\r\n\r\n{}"
    ),
    "compressed": raw(
        b"HTTP/1.1 200 OK\r\nContent-Encoding: gzip\r\nContent-Length: 2\r\n\r\n{}"
    ),
}


@pytest.mark.parametrize("name", CALLS)
@pytest.mark.parametrize("kind", BAD_BODIES)
async def test_a_bad_body_is_no_answer(kv, store, name, kind):
    kv.replace_answer = BAD_BODIES[kind]
    with pytest.raises(StoreUnavailable):
        await CALLS[name].send(store)
