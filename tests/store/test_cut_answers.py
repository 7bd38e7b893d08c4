"""Answers of a store that were broken off, or that are no answers in HTTP."""

import asyncio
import contextlib
import json

import msgpack
import pytest
from magnoliaroad_platform.store import PlatformStore

from magnoliaroad.store import StoreConflict, StoreEntry, StoreUnavailable
from magnoliaroad.store.client import HttpStore
from magnoliaroad.store.settings import StoreSettings
from tests.platform.answer_ends import READ_TIME_S, reset

ENTRY = {"key": "p/a", "value": "MQ==", "revision": 3}
CALLS = {
    "get": lambda store: store.get("p/a"),
    "put": lambda store: store.put("p/a", b"1", expected=1),
    "delete": lambda store: store.delete("p/a"),
    "renew": lambda store: store.renew_lease(1),
    "revoke": lambda store: store.revoke_lease(1),
}
# Statuses and bodies of sound answers, by the client and the call.
PLATFORM = {
    "get": [(200, json.dumps(ENTRY).encode()), (404, b"no such key")],
    "put": [
        (200, b'{"revision": 5}'),
        (412, json.dumps({"items": [ENTRY]}).encode()),
        (404, b"no such lease"),
    ],
    "delete": [(200, b'{"revision": 5}'), (429, b"wait")],
    "renew": [(200, b"{}"), (404, b"no such lease")],
    "revoke": [(200, b"{}"), (404, b"no such lease")],
}
STORED = msgpack.packb(["p/a", b"1", 3])
OTHER = {
    "get": [(200, STORED), (200, msgpack.packb(None))],
    "put": [(200, msgpack.packb(5)), (409, STORED), (410, b"lease")],
    "delete": [(200, msgpack.packb(None)), (429, b"wait")],
    "renew": [(200, msgpack.packb(None)), (410, b"lease")],
    "revoke": [(200, msgpack.packb(None))],
}
CASES = [
    (client, call, *answer)
    for client, answers in ((PlatformStore, PLATFORM), (HttpStore, OTHER))
    for call, each in answers.items()
    for answer in each
]
STATUSES = ("000", "099", "600", "999", "00", "2000", "-20", "20x", "1e2", "101")
INTERIM = {
    "none": b"",
    "100": b"HTTP/1.1 100 Continue\r\n\r\n",
    "several": b"HTTP/1.1 102 X\r\n\r\nHTTP/1.1 103 X\r\nLink: x\r\n\r\n",
    "with a body": b"HTTP/1.1 103 X\r\nContent-Length: 2\r\n\r\nhi",
}


class RawStore:
    """Writes given bytes as the answer to each request.

    Attributes:
        answer: The answer.
        end: Whether the connection is ``"kept"``, or ended by a ``"reset"`` or
            ``"close"``.
        stray: Bytes that are written a moment after the answer.
    """

    answer, end, stray = b"", "kept", b""

    async def serve(self, reader, writer):
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode().lower()
                length = head.partition("content-length: ")[2].split("\r\n")[0]
                await reader.readexactly(int(length or 0))
                writer.write(self.answer)
                await writer.drain()
                await asyncio.sleep(READ_TIME_S)
                writer.write(self.stray)
                if self.end != "kept":
                    break
            if self.end == "reset":
                reset(writer)
        writer.close()


@contextlib.asynccontextmanager
async def raw_store(client):
    """Yields a raw store and a client of it."""
    raw = RawStore()
    server = await asyncio.start_server(raw.serve, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    store = client(StoreSettings(f"http://127.0.0.1:{port}", timeout_s=0.5))
    try:
        yield raw, store
    finally:
        await store.close()
        server.close()


def head(status, *fields, version="1.1"):
    return "\r\n".join([f"HTTP/{version} {status} X", *fields, "", ""]).encode()


def cut_answers(status, body):
    """Returns answers that are broken off, each with the end of its connection."""
    size = len(body)
    chunk = b"%x\r\n%b\r\n" % (size, body)
    by_length = head(status, f"Content-Length: {size + 1}") + body
    by_chunks = head(status, "Transfer-Encoding: chunked") + chunk
    old = head(status, f"Content-Length: {size + 1}", version="1.0") + body
    kept = ("Connection: keep-alive",)
    return {
        "bare": (head(status) + body, "reset"),
        "bare 1.0": (head(status, version="1.0") + body, "reset"),
        "bare 1.0 kept": (head(status, *kept, version="1.0") + body, "reset"),
        "bare half": (head(status) + body[: size // 2], "reset"),
        "length reset": (by_length, "reset"),
        "length closed": (by_length, "close"),
        "length 1.0": (old, "close"),
        "chunks reset": (by_chunks, "reset"),
        "chunks closed": (by_chunks, "close"),
    }


async def outcome(call, store):
    """Returns the result of a call or the error of an answer that was accepted."""
    try:
        return await CALLS[call](store)
    except StoreUnavailable:
        raise
    except Exception as exc:
        return repr(exc)


@pytest.mark.parametrize(("client", "call", "status", "body"), CASES)
async def test_a_cut_answer_is_none(client, call, status, body):
    """A cut "no such key" counted as one, and so did other answers without a length.

    Whole ones, which end with a close, count.
    """
    accepted = []
    async with raw_store(client) as (raw, store):
        for kind, (answer, end) in cut_answers(status, body).items():
            raw.end = end
            for interim in INTERIM.values():
                raw.answer = interim + answer
                with contextlib.suppress(StoreUnavailable):
                    accepted.append((kind, interim, await outcome(call, store)))
        raw.answer, raw.end = head(status) + body, "close"
        whole = await outcome(call, store)
        raw.answer = head(status, f"Content-Length: {len(body)}") + body
        assert await outcome(call, store) == whole
    assert accepted == []


@pytest.mark.parametrize("call", CALLS)
@pytest.mark.parametrize("client", [PlatformStore, HttpStore])
async def test_a_status_that_is_none_is_no_answer(client, call):
    """Guards against a client that reads the body or a number in such a status."""
    body = (PLATFORM if client is PlatformStore else OTHER)[call][0][1]
    fields = f"Content-Length: {len(body)}"
    async with raw_store(client) as (raw, store):
        for status in STATUSES:
            raw.answer = head(status, fields) + body
            with pytest.raises(StoreUnavailable):
                await CALLS[call](store)


@pytest.mark.parametrize("client", [PlatformStore, HttpStore])
async def test_an_answer_that_nobody_asked_for_answers_no_call(client):
    """It was written on a kept connection, and taken for that of the next call."""
    is_platform = client is PlatformStore
    (status, body), (other, none) = (PLATFORM if is_platform else OTHER)["get"]
    answer = head(status, f"Content-Length: {len(body)}") + body
    async with raw_store(client) as (raw, store):
        raw.answer = answer
        raw.stray = head(other, f"Content-Length: {len(none)}") + none
        assert await store.get("p/a") == StoreEntry("p/a", b"1", 3)
        await asyncio.sleep(4 * READ_TIME_S)
        assert await store.get("p/a") == StoreEntry("p/a", b"1", 3)


async def test_a_whole_conflict_is_one():
    async with raw_store(PlatformStore) as (raw, store):
        status, body = PLATFORM["put"][1]
        raw.answer, raw.end = head(status) + body, "close"
        with pytest.raises(StoreConflict):
            await CALLS["put"](store)
