"""Answers of faulty targets that never end (the incident LOST of the review).

Guards against a relay host that keeps all bytes of such an answer, outgrows its memory
and ends with the requests of all other callers.
"""

import asyncio

import aiohttp
import pytest
from loguru import logger

from tests.platform.deployment import Deployment
from tests.platform.raw_target import CHUNKED, EVENTS, OWN_ID, SEAL, head
from tests.platform.target_standin import TargetStandin

TEXT = "Content-Type: text/plain"
# What the host may take of an answer that it ends: its limits, and the buffers of the
# sockets, which grow to some megabytes each.
MOST_BYTES = 24_000_000


def in_chunk(data):
    return b"%x\r\n%b\r\n" % (len(data), data)


EVENT_HEAD = head(SEAL, OWN_ID, EVENTS, CHUNKED)
EVENT_HEAD_BY_CLOSE = head(SEAL, OWN_ID, EVENTS)
FIELDS = f"HTTP/1.1 200 X\r\n{OWN_ID}\r\n{SEAL}\r\n".encode()
LARGE_EVENT = b"data: " + b"x" * 60_000 + b"\n\n"
INTERIM = "more than 8 interim responses"
NO_END = "stream without end"

# What each kind of answer begins with, what follows without end, and the reason for
# which the host ends it.
ENDED = {
    "same event": (EVENT_HEAD, in_chunk(LARGE_EVENT), NO_END),
    "small events": (EVENT_HEAD, in_chunk(b"id: 1\ndata: x\n\n" * 100), NO_END),
    "comments": (EVENT_HEAD, in_chunk(b": x\n\n" * 1000), NO_END),
    "comment lines": (EVENT_HEAD, in_chunk(b": x\n" * 1000), NO_END),
    "one event": (EVENT_HEAD, in_chunk(b"data: y\n" * 1000), NO_END),
    "one line": (EVENT_HEAD, in_chunk(b"z" * 8000), NO_END),
    "events by close": (EVENT_HEAD_BY_CLOSE, LARGE_EVENT, NO_END),
    "one line by close": (EVENT_HEAD_BY_CLOSE, b"z" * 8000, NO_END),
    "102 heads": (b"", head(status=102) * 100, INTERIM),
    "100 heads": (b"", head(status=100) * 100, INTERIM),
    "status line": (b"HTTP/1.1 200 ", b"x" * 1000, ""),
    "header fields": (FIELDS, b"X-Note: " + b"y" * 990 + b"\r\n", ""),
    "one header field": (FIELDS + b"X-Note: ", b"y" * 1000, ""),
    "noise": (b"", b"z" * 1000, ""),
    "trailers": (EVENT_HEAD + b"0\r\n", b"X-Note: " + b"y" * 990 + b"\r\n", ""),
}
# Bytes that are dropped as they come, until the time limit of the route.
DROPPED = (EVENT_HEAD + b"5;", b"x" * 1000)
# Bodies that are passed on as they come, until the time limit of the route.
PASSED_ON = {
    "chunks": (head(SEAL, OWN_ID, TEXT, CHUNKED), in_chunk(b"z" * 60_000)),
    "length": (head(SEAL, OWN_ID, TEXT, f"Content-Length: {10**12}"), b"z" * 60_000),
    "close": (head(SEAL, OWN_ID, TEXT), b"z" * 60_000),
}


class FloodingTarget(TargetStandin):
    """Writes ``flood`` without end after ``opening``, until the caller closes.

    Attributes:
        sent: Bytes that it could write.
    """

    opening, flood, sent = b"", b"", 0

    async def _write_scripted_answer(
        self, act, reader, writer, request_id, path, headers
    ):
        writer.write(self.opening.replace(b"{id}", request_id.encode()))
        while not writer.transport.is_closing():
            writer.write(self.flood)
            await writer.drain()
            self.sent += len(self.flood)
            # The flood must not keep the other tasks of this process waiting.
            await asyncio.sleep(0)
        return False


@pytest.fixture
def failures():
    """The reasons of failures at targets that the hosts log."""
    reasons = []
    sink = logger.add(
        lambda message: reasons.append(message.record["extra"].get("reason")),
        filter=lambda record: record["message"] == "target failed",
    )
    yield reasons
    logger.remove(sink)


async def read_all(deployment, path):
    """Reads an answer; returns its status and size, ``None`` if it was cut."""
    size = 0
    url = f"http://{deployment.relays[0].cfg.listen.callers}{path}"
    sent = deployment.headers(Magnoliaroad_Token_Count="5,100")
    async with deployment.session.post(url, data=b"m", headers=sent) as resp:
        try:
            async for chunk in resp.content.iter_any():
                size += len(chunk)
        except aiohttp.ClientPayloadError:
            return resp.status, None
        return resp.status, size


@pytest.mark.parametrize("path", ["/stream/x", "/plan/x", "/talk/x"])
@pytest.mark.parametrize("kind", ENDED)
async def test_what_no_sound_target_sends_without_end_is_ended(
    tmp_path, failures, path, kind
):
    target, app = FloodingTarget("i-lm"), TargetStandin("i-app", "app")
    target.opening, target.flood, reason = ENDED[kind]
    async with Deployment(tmp_path, target, app) as deployment:
        await deployment.start_records()
        async with asyncio.timeout(20):
            status, size = await read_all(deployment, path)
        assert status in (502, 504) or (status, size) == (200, None)
        assert failures
        assert all(reason in failure for failure in failures)
        assert target.sent < MOST_BYTES
        paid, _, body = await deployment.call("/pay/x", "POST", b"m")
        assert (paid, body) == (200, b"whole")


async def test_a_chunk_extension_without_end_lasts_until_the_time_limit(tmp_path):
    target, app = FloodingTarget("i-lm"), TargetStandin("i-app", "app")
    target.opening, target.flood = DROPPED
    async with Deployment(tmp_path, target, app) as deployment:
        reading = asyncio.create_task(read_all(deployment, "/plan/x"))
        await asyncio.sleep(0.5)
        paid, _, body = await deployment.call("/pay/x", "POST", b"m")
        assert (paid, body) == (200, b"whole")
        async with asyncio.timeout(20):
            assert await reading == (200, None)


@pytest.mark.parametrize("path", ["/safe/x", "/plan/x"])
@pytest.mark.parametrize("kind", PASSED_ON)
async def test_a_body_without_end_waits_for_its_caller(tmp_path, path, kind):
    service = "app" if path.startswith("/safe") else "lm"
    target = FloodingTarget("i-1", service)
    target.opening, target.flood = PASSED_ON[kind]
    async with Deployment(tmp_path, target) as deployment:
        url = f"http://{deployment.relays[0].cfg.listen.callers}{path}"
        async with deployment.session.post(url, headers=deployment.headers()) as resp:
            assert resp.status == 200
            await asyncio.sleep(1.0)
        assert target.sent < MOST_BYTES
