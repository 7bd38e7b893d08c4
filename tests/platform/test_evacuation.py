"""Operators evacuate a data centre while requests arrive at all hosts."""

import asyncio

import pytest

from tests.platform.deployment import UNLIMITED, Deployment
from tests.platform.target_standin import TargetStandin

KEY = "op/evacuate/dc-2"
# Time within which no request may reach an evacuated data centre, in seconds.
BOUND_S = 5.0

pytestmark = pytest.mark.usefixtures("unlogged")


def place(deployment, target, data_centre):
    entry = target.entry(zone=data_centre)
    deployment.kv.write(f"servers/{target.name}", entry)


async def call_all(deployment, path, count):
    calls = (
        deployment.call(
            path,
            "POST" if path.startswith("/plan/") else "GET",
            b"input" if path.startswith("/plan/") else b"",
            relay=number % len(deployment.relays),
            Authorization=UNLIMITED,
        )
        for number in range(count)
    )
    return [status for status, _, _ in await asyncio.gather(*calls)]


async def until_known(deployment, is_ordered):
    await deployment.until(
        lambda: all(
            ("dc-2" in relay.table.evacuations) is is_ordered
            and relay.table.targets["i-2"].data_centre == "dc-2"
            for relay in deployment.relays
        ),
        BOUND_S,
    )


@pytest.mark.parametrize(("service", "path"), [("app", "/safe/x"), ("lm", "/plan/x")])
async def test_an_evacuated_data_centre_gets_no_requests(tmp_path, service, path):
    """Guards against hosts that do not read the store and go on sending there."""
    targets = [TargetStandin(f"i-{n}", service) for n in (1, 2)]
    async with Deployment(tmp_path, *targets, hosts=3) as deployment:
        place(deployment, targets[1], "dc-2")
        deployment.kv.write(KEY, {})
        await until_known(deployment, True)
        before = len(targets[1].runs)
        assert await call_all(deployment, path, 60) == [200] * 60
        assert len(targets[1].runs) == before
        deployment.kv.delete(KEY)
        await until_known(deployment, False)
        deployment.kv.delete(f"servers/{targets[0].name}")
        await deployment.until(
            lambda: all("i-1" not in r.table.targets for r in deployment.relays)
        )
        assert await call_all(deployment, path, 6) == [200] * 6


async def test_hosts_that_restart_keep_to_an_order(tmp_path):
    targets = [TargetStandin(f"i-{n}", "app") for n in (1, 2)]
    async with Deployment(tmp_path, *targets, hosts=2) as deployment:
        place(deployment, targets[1], "dc-2")
        deployment.kv.write(KEY, {})
        await deployment.restart_relays()
        before = len(targets[1].runs)
        assert await call_all(deployment, "/safe/x", 40) == [200] * 40
        assert len(targets[1].runs) == before


async def test_callers_are_told_at_once_if_all_targets_are_evacuated(tmp_path):
    target = TargetStandin("i-2", "app")
    async with Deployment(tmp_path, target) as deployment:
        place(deployment, target, "dc-2")
        deployment.kv.write(KEY, {})
        await until_known(deployment, True)
        status, headers, body = await deployment.call(
            "/safe/x", Authorization=UNLIMITED
        )
        assert status == 503
        assert float(headers["Retry-After"]) > 0
        assert b"evacuated" in body
        assert not target.runs
