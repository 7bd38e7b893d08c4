"""Requests that come late in the drain of a host, on connections in use (LOST)."""

import asyncio
import contextlib
import time

import pytest

from tests.platform.deployment import Deployment, config, route
from tests.platform.kept_caller import KeptCaller
from tests.platform.raw_caller import request_bytes
from tests.platform.raw_target import EVENTS, OWN_ID, SEAL, End, RawTarget, head

EVENT = b"id: 1\ndata: one\n\n"
# Time limit of the routes in ms; longer than the drain.
LONG_MS = 10_000
# Time after the begin of the drain at which the late request is whole, in seconds.
LATE_S = 3.0


def answer(*steps):
    return (*steps, head(SEAL, OWN_ID, "Content-Length: 5") + b"whole")


@contextlib.asynccontextmanager
async def deployed(tmp_path, app, *others, limit_ms=LONG_MS):
    """A relay host that drains for 4 s, with routes of a time limit."""
    async with Deployment(tmp_path, app, *others) as deployment:
        limit = {"timeout_ms": limit_ms}
        routes = [
            route("safe", "/safe/", "safe", "app", **limit),
            route("pay", "/pay/", "unsafe", "app", **limit),
            route("plan", "/plan/", "streaming", "lm", resumable=True, **limit),
        ]
        deployment.kv.write("op/config", config(9, routes=routes))
        plans = deployment.relays[0].plans
        await deployment.until(lambda: plans.version == 9)
        yield deployment


async def send_on_connection_in_use(deployment, caller, path, late):
    """The answer that was begun before the drain keeps the connection in use."""
    headers = deployment.headers(Magnoliaroad_Deadline_Ms="10000")
    await caller.send(request_bytes(headers, "/plan/x", "POST", body=b"m"))
    await deployment.until(lambda: deployment.targets[1].in_flight)
    await asyncio.sleep(0.1)
    stop = asyncio.create_task(deployment.relays[0].drain())
    status, first = await caller.read_head()
    assert (status, first.get("connection")) == (200, None)
    await asyncio.sleep(max(0.0, LATE_S - 2.9))
    await caller.send(request_bytes(late, path, "POST", body=b"m"))
    return stop


async def send_late_body(deployment, caller, path, late):
    """The last bytes of the body arrive late in the drain."""
    sent = request_bytes(late, path, "POST", body=b"m" * 2000)
    await caller.send(sent[:-1000])
    stop = asyncio.create_task(deployment.relays[0].drain())
    await asyncio.sleep(LATE_S)
    await caller.send(sent[-1000:])
    return stop


@pytest.mark.parametrize("path", ["/pay/x", "/safe/x"])
@pytest.mark.parametrize("send", [send_on_connection_in_use, send_late_body])
async def test_a_request_that_cannot_end_before_the_host_is_refused(
    tmp_path, send, path
):
    """LOST: it was passed on, and its connection ended without an answer."""
    app, lm = RawTarget("i-app", "app"), RawTarget("i-lm", "lm")
    app.script = [answer(1.5)]
    lm.script = [(head(SEAL, OWN_ID, EVENTS) + EVENT, 2.9, EVENT, End.CLOSE)]
    async with deployed(tmp_path, app, lm) as deployment:
        late = deployment.headers(Magnoliaroad_Deadline_Ms="10000")
        address = deployment.relays[0].cfg.listen.callers
        async with KeptCaller(address) as caller:
            stop = await send(deployment, caller, path, late)
            sent_at = time.monotonic()
            status, headers = await caller.read_head()
            took_s = time.monotonic() - sent_at
            await stop
        await deployment.relays[0].stop()
        assert status == 503
        assert float(headers["retry-after"]) > 0
        assert headers["connection"] == "close"
        assert took_s < 0.2
        assert app.runs == []


async def test_a_late_request_that_ends_in_time_is_served(tmp_path):
    """With a limit of 0.5 s it ends before the host, whatever the target does."""
    app, lm = RawTarget("i-app", "app"), RawTarget("i-lm", "lm")
    app.script = [answer(0.2)]
    lm.script = [(head(SEAL, OWN_ID, EVENTS) + EVENT, 2.9, EVENT, End.CLOSE)]
    async with deployed(tmp_path, app, lm) as deployment:
        late = deployment.headers(Magnoliaroad_Deadline_Ms="500")
        async with KeptCaller(deployment.relays[0].cfg.listen.callers) as caller:
            stop = await send_on_connection_in_use(deployment, caller, "/pay/x", late)
            assert await caller.read_status() == 200
            await stop


async def test_requests_of_the_first_seconds_are_served_whatever_their_limit(tmp_path):
    app = RawTarget("i-app", "app")
    app.script = [answer(0.2)]
    async with deployed(tmp_path, app) as deployment:
        stop = asyncio.create_task(deployment.relays[0].drain())
        await asyncio.sleep(0.1)
        status, _, body = await deployment.call(
            "/pay/x", "POST", b"m", Magnoliaroad_Deadline_Ms="10000"
        )
        assert (status, body) == (200, b"whole")
        await stop


@pytest.mark.parametrize("early_s", [0.2, -0.1])
async def test_a_request_that_outlasts_the_drain_gets_a_final_answer(tmp_path, early_s):
    """LOST: it was cut off with its connection, sent before the drain or just after."""
    app = RawTarget("i-app", "app")
    app.script = [answer(6.0)]
    async with deployed(tmp_path, app) as deployment:
        stop = None
        if early_s < 0:
            stop = asyncio.create_task(deployment.relays[0].drain())
            await asyncio.sleep(-early_s)
        call = asyncio.create_task(
            deployment.call("/pay/x", "POST", b"m", Magnoliaroad_Deadline_Ms="10000")
        )
        if early_s > 0:
            await asyncio.sleep(early_s)
            stop = asyncio.create_task(deployment.relays[0].drain())
        await stop
        await deployment.relays[0].stop()
        status, headers, _ = await call
        assert (status, headers["Connection"]) == (504, "close")
