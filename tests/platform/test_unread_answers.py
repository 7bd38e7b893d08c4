"""Answers that the kernel still sends when a host stops, as their caller sends more."""

import asyncio
import contextlib

from tests.platform.slow_caller import SlowCaller
from tests.soak.fleet import Fleet

# More than the caller's receive buffer; less than the host's send buffer.
ANSWER_BYTES = 40_000
# Number of requests that follow, and the time between them.
REQUESTS = 15
INTERVAL_S = 0.1


@contextlib.asynccontextmanager
async def caller_of(tmp_path):
    """Yields a caller, its host and a function that sends and awaits the request."""
    async with Fleet(tmp_path, 1, 1) as fleet:
        for target in fleet.targets:
            target.answer = b"x" * ANSWER_BYTES
        relay = fleet.relay_hosts[0]

        async def send():
            await caller.send("/safe/x", "r-1")
            await fleet.until(lambda: any(target.runs for target in fleet.targets))

        async with SlowCaller(relay.caller_address, pause_s=0.0) as caller:
            yield caller, relay, send


async def read_after_more_requests(caller):
    """Sends more requests; returns the first body and what follows."""
    with contextlib.suppress(OSError):
        for number in range(REQUESTS):
            await caller.send("/safe/x", f"r-more-{number}")
            await asyncio.sleep(INTERVAL_S)
    return (await caller.read()).partition(b"\r\n\r\n")[2]


async def test_requests_after_the_close_do_not_reset_the_answer_before_them(tmp_path):
    """LOST: an idle connection was closed while the kernel had most of an answer."""
    async with caller_of(tmp_path) as (caller, relay, send):
        await send()
        stop = asyncio.create_task(relay.terminate())
        # Longer than the host's notice and the grace of idle connections.
        await asyncio.sleep(1.2)
        body = await read_after_more_requests(caller)
        assert await stop == ""
    assert body.startswith(b"x" * ANSWER_BYTES)


async def test_requests_do_not_reset_an_answer_that_ends_its_connection(tmp_path):
    """LOST: a connection was closed after an answer with a request unread."""
    async with caller_of(tmp_path) as (caller, relay, send):
        stop = asyncio.create_task(relay.terminate())
        await asyncio.sleep(0.3)
        await send()
        await asyncio.sleep(0.1)
        body = await read_after_more_requests(caller)
        assert await stop == ""
    assert body.startswith(b"x" * ANSWER_BYTES)
