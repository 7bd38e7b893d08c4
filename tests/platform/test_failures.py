"""Failures of similar systems that the users have named, as callers see them."""

import asyncio
import time

import pytest

from tests.platform.deployment import Deployment, config
from tests.platform.target_standin import TargetStandin

# Longest log line about a request, in characters.
MAX_LINE_CHARS = 1000


@pytest.mark.parametrize("path", ["/pay/x", "/safe/x", "/stream/x"])
async def test_a_duplicate_answer_on_a_reused_connection_reaches_no_other_caller(
    tmp_path, path
):
    target = TargetStandin("i-1", "lm" if path.startswith("/stream") else "app")
    target.script = ["ok", "again", "ok"]
    async with Deployment(tmp_path, target) as deployment:
        await deployment.start_records()
        for _ in range(3):
            status, _, body = await deployment.call(path, "POST", b"m")
            assert body is None or b"before" not in body
            if status == 200:
                assert body


async def test_a_slow_stream_is_not_cut(tmp_path):
    target = TargetStandin("i-lm", events=5)
    target.script = ["slowly"]
    async with Deployment(tmp_path, target) as deployment:
        await deployment.start_records()
        status, _, body = await deployment.turn()
    assert status == 200
    assert body.endswith(b"word5\n\n")


async def test_a_stalled_stream_that_sends_single_bytes_is_ended(tmp_path):
    """The route's time limit of 2 s ends it, and the caller sees it as incomplete."""
    target = TargetStandin("i-lm")
    target.script = ["trickle"]
    async with Deployment(tmp_path, target) as deployment:
        loop = asyncio.get_running_loop()
        began = loop.time()
        status, _, body = await deployment.turn(Magnoliaroad_Deadline_Ms="9000")
        assert (status, body) == (200, None)
        assert 1.5 < loop.time() - began < 2.4


async def test_requests_just_accepted_are_answered_during_a_drain(tmp_path):
    target = TargetStandin("i-app", "app")
    async with Deployment(tmp_path, target) as deployment:
        relay = deployment.relays[0]
        statuses = []

        async def send():
            while not relay.server.draining or len(statuses) < 200:
                status, headers, _ = await deployment.call("/pay/x", "POST", b"m")
                statuses.append(status)
                if headers.get("Connection") == "close" or len(statuses) > 2000:
                    return

        callers = [asyncio.create_task(send()) for _ in range(20)]
        await deployment.until(lambda: len(statuses) > 40)
        await relay.drain()
        await asyncio.gather(*callers)
    assert set(statuses) == {200}


async def test_after_a_restart_no_removed_key_or_draining_target_is_used(tmp_path):
    targets = [TargetStandin("i-1", "app"), TargetStandin("i-2", "app")]
    async with Deployment(tmp_path, *targets) as deployment:
        assert (await deployment.call("/safe/x"))[0] == 200
        await deployment.relays.pop().stop()
        deployment.kv.write("servers/i-1", targets[0].entry(state="draining"))
        runs = len(targets[0].runs)
        teams = [{"name": "league", "api_keys": ["new"]}]
        deployment.kv.write("op/config", config(9, tenants=teams))
        relay = deployment.application(1)
        await relay.start()
        deployment.relays.append(relay)
        await deployment.until(relay._ready)
        assert (await deployment.call("/safe/x"))[0] == 401
        for _ in range(4):
            status, _, _ = await deployment.call("/safe/x", Authorization="Bearer new")
            assert status == 200
        assert len(targets[0].runs) == runs


@pytest.mark.parametrize("path", ["/pay/x", "/safe/x", "/stream/x"])
@pytest.mark.parametrize("act", ["endless_noise", "endless_head", "endless_body"])
async def test_an_endless_answer_fails_and_its_connection_is_closed(
    tmp_path, path, act, logged
):
    """The route's time limit of 2 s ends a body; the size limit ends the headers."""
    target = TargetStandin("i-1", "lm" if path.startswith("/stream") else "app")
    target.script = [act, "ok"]
    async with Deployment(tmp_path, target) as deployment:
        await deployment.start_records()
        loop = asyncio.get_running_loop()
        began = loop.time()
        status, _, body = await deployment.call(path, "POST", b"m")
        assert loop.time() - began < 2.4
        if act == "endless_body":
            assert (status, body) == (200, None)
        else:
            assert status == 502
        for line in logged:
            assert len(str(line)) < MAX_LINE_CHARS
        await deployment.until(lambda: not target.in_flight)
        await asyncio.sleep(1.0)
        assert (await deployment.call(path, "POST", b"n"))[0] == 200


async def test_a_program_begins_and_goes_on_while_the_store_is_away(tmp_path):
    target = TargetStandin("i-lm", "lm")
    async with Deployment(tmp_path, target, escrow=True) as deployment:
        await deployment.start_records()
        role = deployment.records.escrow._role
        await deployment.until(lambda: role.may_grant(time.monotonic()))
        deployment.kv.fault = "busy"
        contact = deployment.relays[0].contact
        contact.request_probe()
        await deployment.until(lambda: contact.lost)
        statuses = [(await deployment.turn(budget=2000))[0] for _ in range(4)]
        assert statuses == [200] * 4
        # Beyond the data centre's part nothing can be claimed.
        status, _, _ = await deployment.turn(program="p-2", budget=150)
        assert status == 503
