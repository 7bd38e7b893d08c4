"""Requests that find all targets full wait for room where the settings ask for it."""

import asyncio
import time

import pytest
from magnoliaroad_platform.requirements import apply_requirements

from magnoliaroad.waiting.admission import SUSTAINED_S
from magnoliaroad.waiting.settings import WaitingSettings
from tests.platform.deployment import UNLIMITED, Deployment
from tests.platform.target_standin import TargetStandin

pytestmark = pytest.mark.usefixtures("unlogged")


class ShortOfRoom(Deployment):
    """Hosts whose settings turn waiting on or off."""

    def __init__(self, *args, enabled="on", hosts=1, **changes):
        super().__init__(*args, hosts=hosts)
        self.waiting = WaitingSettings(enabled=enabled, **changes)

    def settings(self, name, **listen):
        return super().settings(name, **listen)._replace(waiting=self.waiting)


def full_for_a_while(count=3):
    target = TargetStandin("i-1", "app")
    target.script = ["full"] * count + ["ok"]
    return target


async def call(deployment, method="GET", path="/safe/x", body=b""):
    return await deployment.call(path, method, body, Authorization=UNLIMITED)


@pytest.mark.parametrize(("method", "path"), [("GET", "/safe/x"), ("POST", "/pay/x")])
async def test_a_request_waits_for_room_and_runs_once(tmp_path, method, path):
    """Guards against refusals while places become free every few milliseconds."""
    target = full_for_a_while()
    async with ShortOfRoom(tmp_path, target) as deployment:
        status, _, body = await call(deployment, method, path)
        assert (status, body) == (200, b"whole")
        assert len(target.runs) == 1


async def test_without_the_setting_requests_are_refused_as_before(tmp_path):
    target = full_for_a_while()
    async with ShortOfRoom(tmp_path, target, enabled="auto") as deployment:
        status, headers, _ = await call(deployment)
        assert status == 503
        assert float(headers["Retry-After"]) > 0
        assert not target.runs


async def test_a_request_that_waits_too_long_is_refused_as_not_run(tmp_path):
    target = full_for_a_while(count=1000)
    async with ShortOfRoom(tmp_path, target, longest_wait_s=0.2) as deployment:
        status, headers, _ = await call(deployment, "POST", "/pay/x", b"x")
        assert status == 503
        assert float(headers["Retry-After"]) > 0
        assert not target.runs


async def test_beyond_the_bound_requests_are_refused_at_once(tmp_path):
    target = full_for_a_while(count=1000)
    async with ShortOfRoom(
        tmp_path, target, longest_wait_s=0.5, max_requests=3
    ) as deployment:
        room = deployment.relays[0].server.parts.waiting
        calls = [asyncio.create_task(call(deployment)) for _ in range(12)]
        await deployment.until(lambda: any(task.done() for task in calls))
        assert len(room._woken) <= 3
        answers = await asyncio.gather(*calls)
        assert {status for status, _, _ in answers} == {503}
        # Refused requests must not all come back at the same time.
        assert len({headers["Retry-After"] for _, headers, _ in answers}) > 3


async def test_a_caller_that_leaves_waits_no_longer(tmp_path):
    target = full_for_a_while(count=1000)
    async with ShortOfRoom(tmp_path, target) as deployment:
        room = deployment.relays[0].server.parts.waiting
        task = asyncio.create_task(call(deployment))
        await deployment.until(lambda: len(room._woken) == 1)
        task.cancel()
        await deployment.until(lambda: not room._woken)
        assert room._held_bytes == 0


async def test_engines_are_told_the_rank_of_a_turn(tmp_path):
    target = TargetStandin("i-1")
    async with ShortOfRoom(tmp_path, target) as deployment:
        status, _, _ = await deployment.turn(Magnoliaroad_Request_Priority="0")
        assert status == 200
        _, _, headers, _ = target.runs[-1]
        assert headers["magnoliaroad-request-priority"] == "3"


async def test_without_the_setting_engines_are_told_no_rank(tmp_path):
    target = TargetStandin("i-1")
    async with ShortOfRoom(tmp_path, target, enabled="auto") as deployment:
        await deployment.turn()
        _, _, headers, _ = target.runs[-1]
        assert "magnoliaroad-request-priority" not in headers


def test_a_deployment_under_pressure_turns_waiting_on(tmp_path):
    cfg = Deployment(tmp_path).settings("h")
    assert apply_requirements(cfg).waiting.enabled == "auto"
    asked = cfg._replace(requirements=("base", "pressure"))
    assert apply_requirements(asked).waiting.enabled == "on"
    off = asked._replace(waiting=WaitingSettings(enabled="off"))
    assert apply_requirements(off).waiting.enabled == "off"


async def test_a_new_request_does_not_take_the_place_of_one_that_waits(tmp_path):
    """Guards against waiting requests whose places go to those that arrive later."""
    target = full_for_a_while(count=1)
    async with ShortOfRoom(tmp_path, target) as deployment:
        room = deployment.relays[0].server.parts.waiting
        first = asyncio.create_task(call(deployment, "POST", "/pay/x", b"first"))
        await deployment.until(lambda: room.count("app") == 1)
        second = asyncio.create_task(call(deployment, "POST", "/pay/x", b"second"))
        answers = await asyncio.gather(first, second)
        assert [status for status, _, _ in answers] == [200, 200]
        assert [body for _, _, _, body in target.runs] == [b"first", b"second"]


async def test_a_host_that_stops_refuses_waiting_requests(tmp_path):
    """Guards against callers that are held until the host has stopped."""
    target = full_for_a_while(count=1000)
    async with ShortOfRoom(tmp_path, target) as deployment:
        server = deployment.relays[0].server
        room = server.parts.waiting
        task = asyncio.create_task(call(deployment, "POST", "/pay/x", b"x"))
        await deployment.until(lambda: room.count("app") == 1)
        drain = asyncio.create_task(server.drain())
        await deployment.until(lambda: server.draining)
        assert room.count("app") == 0
        status, headers, _ = await task
        assert status == 503
        assert float(headers["Retry-After"]) > 0
        assert not target.runs
        await drain


async def test_a_program_that_has_begun_at_another_host_is_not_refused(tmp_path):
    """Guards against turns that are taken for the first of a new program."""
    target = TargetStandin("i-1")
    async with ShortOfRoom(tmp_path, target, hosts=2) as deployment:
        fleets = [relay.fleet for relay in deployment.relays]
        await deployment.until(lambda: all(f.hosts_in_contact() for f in fleets))
        assert (await deployment.turn(program="p-begun", relay=0))[0] == 200
        parts = deployment.relays[1].server.parts
        parts.table.in_flight["i-1"] = 30
        since = time.monotonic() - 2 * SUSTAINED_S
        parts.program_admission.record_waiting("lm", [(30.0, 8)], since)
        assert (await deployment.turn(program="p-new", relay=1))[0] == 503
        assert (await deployment.turn(program="p-begun", relay=1))[0] == 200
