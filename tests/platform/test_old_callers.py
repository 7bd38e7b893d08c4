"""Callers that speak HTTP/1.0."""

import asyncio

import pytest

from tests.platform.deployment import Deployment
from tests.platform.raw_caller import raw_caller, request_bytes
from tests.platform.raw_target import CHUNKED, EVENTS, OWN_ID, SEAL, End, RawTarget
from tests.platform.raw_target import head as answer_head
from tests.platform.target_standin import TargetStandin

EVENT = b"id: 1\ndata: one\n\n"
# Largest answer that is buffered is 256 KB.
PATHS = {"/stream/x": ("lm", EVENT), "/plan/x": ("lm", EVENT)}
PATHS |= {path: ("app", EVENT * 20_000) for path in ("/safe/x", "/pay/x")}


async def test_a_stream_to_an_http_1_0_caller_is_whole_and_ends_with_its_connection(
    tmp_path,
):
    """LOST: the connection was aborted, as HTTP/1.0 has no chunked encoding."""
    target = TargetStandin("i-lm")
    async with Deployment(tmp_path, target) as deployment:
        await deployment.start_records()
        address = deployment.relays[0].cfg.listen.callers
        host, _, port = address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        lines = [f"{name}: {value}" for name, value in deployment.headers().items()]
        head = "\r\n".join(["POST /stream/t HTTP/1.0", *lines, "", ""])
        writer.write(head.encode())
        answer = await reader.read()
        writer.close()
    head, _, body = answer.partition(b"\r\n\r\n")
    assert head.startswith((b"HTTP/1.0 200", b"HTTP/1.1 200"))
    assert b"chunked" not in head.lower()
    assert body.count(b"data: ") == target.events
    assert body.endswith(b"\n\n")


async def read_stream(deployment, path, on_event=lambda: None, **headers):
    """Returns the body of an answer; ``None`` if its connection was reset.

    ``on_event`` is called when the first event has arrived.
    """
    async with raw_caller(deployment) as (reader, writer):
        sent = deployment.headers(**headers)
        writer.write(request_bytes(sent, path, "POST", "1.0", b"m"))
        try:
            async with asyncio.timeout(3):
                await reader.readuntil(b"\r\n\r\n")
                first = await reader.readexactly(len(EVENT))
                on_event()
                return first + await reader.read()
        except ConnectionResetError:
            return None


@pytest.mark.parametrize("path", PATHS)
@pytest.mark.parametrize("connection", ["close", "keep-alive"])
async def test_only_a_whole_answer_ends_with_a_close(tmp_path, path, connection):
    """A cut answer without a length ended with a close, as a whole one does.

    A whole answer to a caller that asked to keep its connection did not end at all.
    """
    service, body = PATHS[path]
    chunk = b"%x\r\n%b\r\n" % (len(body), body)
    begun = answer_head(SEAL, OWN_ID, EVENTS, CHUNKED) + chunk
    target = RawTarget("i-1", service)
    async with Deployment(tmp_path, target) as deployment:
        await deployment.start_records()
        target.script = [(begun + b"0\r\n\r\n",), (begun, 0.1, End.RESET)]
        whole = await read_stream(deployment, path, Connection=connection)
        cut = await read_stream(deployment, path, Connection=connection)
    assert (whole, cut) == (body, None)


async def test_an_answer_that_the_host_gives_up_does_not_end_with_a_close(tmp_path):
    """Guards against aborts that bypass the end of a cut answer, as at shutdown."""
    target = RawTarget("i-lm")
    begun = answer_head(SEAL, OWN_ID, EVENTS, CHUNKED) + b"11\r\n" + EVENT + b"\r\n"
    target.script = [(begun, 1.5, b"0\r\n\r\n")]
    async with Deployment(tmp_path, target) as deployment:

        def shed():
            for conn in deployment.relays[0].server._server.connections:
                conn.shed()

        assert await read_stream(deployment, "/plan/x", shed) is None
