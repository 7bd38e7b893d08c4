"""Planned stops of hosts, most of them real processes, as their callers see them."""

import asyncio
import contextlib
import signal

import pytest

from tests.platform.deployment import KEY, Deployment
from tests.platform.kept_caller import ClosedBefore, KeptCaller
from tests.platform.raw_target import EVENTS, OWN_ID, SEAL, End, RawTarget, head
from tests.platform.slow_caller import SlowCaller
from tests.soak.fleet import NOTICE_S, SMALL_BUFFERS_PROGRAM, Fleet

# Below the limit up to which a handler does not wait for its bytes to be sent.
ANSWER_BYTES = 40_000
CALLERS = 80
# Time after SIGTERM over which the callers send; an idle host stops sooner.
SENDING_S = 2.0
# Time between the pieces of a request; longer than the grace of idle connections.
PIECE_PAUSE_S = 0.6
BODY = b"m" * 2000
SHAPES = {
    "whole": {},
    "head in two pieces": {"cut": 40, "pause_s": PIECE_PAUSE_S},
    "whole body": {"body": BODY},
    "body in two pieces": {"body": BODY, "cut": -1000, "pause_s": PIECE_PAUSE_S},
}


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


async def test_requests_on_kept_connections_are_answered_until_the_process_is_gone(
    tmp_path,
):
    """LOST: idle connections were closed as they were used, or with half a head."""
    async with Fleet(tmp_path, 1, 1) as fleet, contextlib.AsyncExitStack() as stack:
        relay = fleet.relay_hosts[0]
        callers = [
            await stack.enter_async_context(KeptCaller(relay.caller_address))
            for _ in range(CALLERS)
        ]
        for number, caller in enumerate(callers):
            assert await caller.exchange(_headers(f"r-{number}"), "/safe/x") == 200

        statuses = {}

        async def send(number):
            await asyncio.sleep(SENDING_S * number / CALLERS)
            shape = SHAPES[list(SHAPES)[number % len(SHAPES)]]
            with contextlib.suppress(ClosedBefore):
                statuses[number] = await callers[number].exchange(
                    _headers(f"s-{number}"), "/pay/x", **shape
                )

        stop = asyncio.create_task(relay.terminate())
        await asyncio.gather(*map(send, range(CALLERS)))
        assert await stop == ""
        ran = {
            run[2]["magnoliaroad-request-id"]
            for target in fleet.targets
            for run in target.runs
        }
    unanswered = [
        f"s-{number} {list(SHAPES)[number % len(SHAPES)]}"
        for number, status in statuses.items()
        if status is None
    ]
    assert unanswered == []
    assert set(statuses.values()) <= {200, 408, 503}
    for number, status in statuses.items():
        assert (status == 200) == (f"s-{number}" in ran)


def _headers(request_id):
    return {
        "Host": "arcade.example",
        "Authorization": f"Bearer {KEY}",
        "Magnoliaroad-Request-Id": request_id,
        "Magnoliaroad-Deadline-Ms": "4000",
    }


@pytest.mark.parametrize(("path", "service"), [("/pay/x", "app"), ("/plan/x", "lm")])
async def test_an_answer_that_begins_after_the_stop_announces_the_close(
    tmp_path, path, service
):
    """LOST: callers went on with connections that were about to be closed."""
    target = RawTarget("i-1", service)
    event = b"id: 1\ndata: one\n\n"
    target.script = [(0.3, head(SEAL, OWN_ID, EVENTS) + event, End.CLOSE)]
    async with Deployment(tmp_path, target) as deployment:
        call = asyncio.create_task(deployment.call(path, "POST", b"m"))
        await deployment.until(lambda: target.in_flight)
        deployment.relays[0].server.draining = True
        status, headers, body = await call
    assert (status, headers["Connection"], body) == (200, "close", event)


async def test_requests_that_arrive_while_a_stopping_host_stands_still_are_answered(
    tmp_path,
):
    """LOST: timers ran before sockets were read, and closed connections as idle."""
    async with Fleet(tmp_path, 1, 1) as fleet:
        relay = fleet.relay_hosts[0]
        callers = [SlowCaller(relay.caller_address, pause_s=0.0) for _ in range(40)]
        async with contextlib.AsyncExitStack() as stack:
            for caller in callers:
                await stack.enter_async_context(caller)
            stop = asyncio.create_task(relay.terminate())
            await asyncio.sleep(NOTICE_S + 0.3)
            relay.proc.send_signal(signal.SIGSTOP)
            for number, caller in enumerate(callers):
                await caller.send("/safe/x", f"r-{number}")
            await asyncio.sleep(0.4)
            relay.proc.send_signal(signal.SIGCONT)
            answers = await asyncio.gather(
                *(caller.read() for caller in callers), return_exceptions=True
            )
        assert await stop == ""
    assert [a for a in answers if not str(a)[2:].startswith("HTTP/1.1 200")] == []
