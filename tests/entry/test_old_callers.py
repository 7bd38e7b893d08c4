"""Callers of the front end that speak HTTP/1.0."""

import asyncio
import json
import socket

import pytest
from aiohttp import web

from tests.entry.engines import event
from tests.entry.hosts import HEADERS, chat_body, host_with_target
from tests.entry.test_services import payout_edit
from tests.platform.raw_target import LINGER_0

PATHS = ("/services/payouts/x", "/v1/chat/completions")
# Larger than what is kept of an answer to a call that runs once.
PLAIN_BODY = b"0123456789" * 200_000


async def read_answer(url, path, connection, key):
    """Returns the body of an answer; ``None`` if its connection was reset."""
    host, _, port = url.removeprefix("http://").rpartition(":")
    body = json.dumps(chat_body(stream=True)).encode()
    fields = HEADERS | {
        "Connection": connection,
        "Content-Length": str(len(body)),
        "Content-Type": "application/json",
        "Idempotency-Key": key,
    }
    lines = [f"{name}: {value}" for name, value in fields.items()]
    head = "\r\n".join([f"POST {path} HTTP/1.0", *lines, "", ""])
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        writer.write(head.encode() + body)
        async with asyncio.timeout(3):
            answer = await reader.read()
    except ConnectionResetError:
        return None
    finally:
        writer.transport.abort()
    return answer.partition(b"\r\n\r\n")[2]


def reset_connection(req):
    sock = req.transport.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_0)
    req.transport.abort()


class Target:
    """Answers with chunks, and resets its connection before the last one if ``cut``."""

    cut = False

    def app(self):
        app = web.Application()
        app.router.add_post("/{path:.*}", self._answer)
        return app

    async def _answer(self, req):
        resp = web.StreamResponse(headers={"Content-Type": "text/event-stream"})
        await resp.prepare(req)
        if req.path == "/x":
            await resp.write(PLAIN_BODY)
        else:
            await resp.write(event("one"))
        await asyncio.sleep(0.1)
        if self.cut:
            reset_connection(req)
        else:
            await resp.write(b"" if req.path == "/x" else b"data: [DONE]\n\n")
        return resp


@pytest.mark.parametrize("repeatable", [True, False])
@pytest.mark.parametrize("connection", ["close", "keep-alive"])
async def test_only_a_whole_answer_of_a_service_ends_with_a_close(
    connection, repeatable
):
    """A cut answer without a length ended with a close, as a whole one does."""
    target = Target()
    async with host_with_target(target.app(), payout_edit(repeatable)) as (_, url):
        whole = await read_answer(url, PATHS[0], connection, "first")
        target.cut = True
        cut = await read_answer(url, PATHS[0], connection, "second")
    assert whole == PLAIN_BODY
    assert cut is None


@pytest.mark.parametrize("connection", ["close", "keep-alive"])
async def test_a_whole_stream_ends_with_a_close(connection):
    """A stream to a caller that asked to keep its connection did not end."""
    async with host_with_target(Target().app()) as (_, url):
        answer = await read_answer(url, PATHS[1], connection, "")
    assert answer.endswith(b"data: [DONE]\n\n")
