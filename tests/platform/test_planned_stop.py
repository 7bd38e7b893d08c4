"""Planned stops of real processes, as slow callers see them."""

import asyncio

from tests.platform.slow_caller import SlowCaller
from tests.soak.fleet import SMALL_BUFFERS_PROGRAM, Fleet

# Below the limit up to which a handler does not wait for its bytes to be sent.
ANSWER_BYTES = 40_000


async def test_a_host_that_stops_sends_the_answers_that_are_in_its_buffers(tmp_path):
    """LOST: the process ended once no handler ran, with whole answers unsent."""
    async with Fleet(tmp_path, 1, 1, SMALL_BUFFERS_PROGRAM) as fleet:
        for target in fleet.targets:
            target.answer = b"x" * ANSWER_BYTES
        relay = fleet.relay_hosts[0]
        async with SlowCaller(relay.caller_address) as caller:
            await caller.send("/safe/x", "r-1")
            await fleet.until(lambda: any(target.runs for target in fleet.targets))
            stop = asyncio.create_task(relay.terminate())
            answer = await caller.read()
        assert await stop == ""
    head, _, body = answer.partition(b"\r\n\r\n")
    assert head.startswith(b"HTTP/1.1 200")
    assert len(body) == ANSWER_BYTES


async def test_a_request_during_the_drain_does_not_reset_the_answer_before_it(
    tmp_path,
):
    """LOST: a connection was closed with an answer unsent and a request unread."""
    async with Fleet(tmp_path, 1, 1, SMALL_BUFFERS_PROGRAM) as fleet:
        for target in fleet.targets:
            target.answer = b"x" * ANSWER_BYTES
        relay = fleet.relay_hosts[0]
        async with SlowCaller(relay.caller_address) as caller:
            await caller.send("/safe/x", "r-1")
            await fleet.until(lambda: any(target.runs for target in fleet.targets))
            stop = asyncio.create_task(relay.terminate())
            read = asyncio.create_task(caller.read())
            # Longer than the host's notice and the grace of idle connections.
            await asyncio.sleep(1.1)
            await caller.send("/safe/x", "r-2")
            answer = await read
        assert await stop == ""
    assert answer.count(b"x" * ANSWER_BYTES) == answer.count(b"HTTP/1.1 200")
    assert answer.startswith(b"HTTP/1.1 200")
