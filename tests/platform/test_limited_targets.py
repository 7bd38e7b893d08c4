"""Targets that state how many requests they take from all hosts together."""

import asyncio

import pytest

from tests.platform.deployment import UNLIMITED, Deployment, config
from tests.platform.target_standin import TargetStandin

# The rule: from ``KNOWN_S`` after it was first stated, a target gets in ``WINDOW_S`` at
# most ``FACTOR`` times what its limit allows, and ``SPARE`` requests more.
KNOWN_S, WINDOW_S, FACTOR, SPARE = 3.0, 4.0, 1.5, 5
RATE = 4.0
ALLOWED = FACTOR * WINDOW_S * RATE + SPARE
# Requests that callers send in ``WINDOW_S``, as many at each host.
DEMAND = 240
PATHS = {"lm": "/plan/x", "app": "/safe/x"}

pytestmark = pytest.mark.usefixtures("unlogged")


async def send_many(deployment, path, seconds, count):
    """Sends requests at an even pace to all hosts in turn; returns the answers."""

    async def send(number):
        await asyncio.sleep(seconds * number / count)
        method = "POST" if path.startswith("/plan/") else "GET"
        return await deployment.call(
            path,
            method,
            b"input" if method == "POST" else b"",
            relay=number % len(deployment.relays),
            Authorization=UNLIMITED,
        )

    return await asyncio.gather(*(send(number) for number in range(count)))


def statuses(answers):
    return [status for status, _, _ in answers]


@pytest.mark.parametrize("service", ["lm", "app"])
async def test_a_limited_target_gets_no_more_than_it_states(tmp_path, service):
    """Day capped on Sokol: 85 requests in 4 s where 37 were allowed."""
    targets = [TargetStandin(f"i-{n}", service) for n in range(2)]
    targets[0].limit = f"{RATE}"
    async with Deployment(tmp_path, *targets, hosts=3) as deployment:
        path = PATHS[service]
        await send_many(deployment, path, KNOWN_S, int(DEMAND * KNOWN_S / WINDOW_S))
        before = [len(target.runs) for target in targets]
        answers = await send_many(deployment, path, WINDOW_S, DEMAND)
        got = [len(t.runs) - b for t, b in zip(targets, before, strict=True)]
        assert statuses(answers) == [200] * DEMAND
        assert got[0] <= ALLOWED
        assert sum(got) == DEMAND


async def test_an_answer_that_states_a_cold_target_is_believed(tmp_path):
    """Guards against full load until the entry of a target that got cold is read."""
    target = TargetStandin("i-0", "app")
    target.cold_ms = "2000"
    async with Deployment(tmp_path, target) as deployment:
        service = {"name": "app", "cold_start_s": 3.0, "cold_per_s": RATE}
        deployment.kv.write("op/config", config(9, services=[service]))
        await deployment.until(lambda: deployment.relays[0].plans.version == 9)
        await send_many(deployment, PATHS["app"], 1.0, 60)
        assert 0 < len(target.runs) <= RATE * 1.5 + 5


async def test_requests_beyond_all_limits_are_refused_with_a_time_to_return(tmp_path):
    target = TargetStandin("i-0", "app")
    target.limit = "2"
    async with Deployment(tmp_path, target, hosts=2) as deployment:
        await send_many(deployment, "/safe/x", KNOWN_S, 60)
        before = len(target.runs)
        answers = await send_many(deployment, "/safe/x", 1.0, 20)
        refused = [answer for answer in answers if answer[0] == 503]
        assert {status for status, _, _ in answers} <= {200, 503}
        assert len(target.runs) - before == 20 - len(refused)
        assert refused
        assert all(float(headers["Retry-After"]) > 0 for _, headers, _ in refused)


@pytest.mark.parametrize("act", ["full", "error"])
async def test_a_limit_in_an_answer_that_is_no_success_is_kept(tmp_path, act):
    target = TargetStandin("i-0", "app")
    target.script, target.limit = [act], "1"
    async with Deployment(tmp_path, target) as deployment:
        await deployment.call("/safe/x", Authorization=UNLIMITED)
        relay = deployment.relays[0]
        assert relay.table.limits.is_limited(relay.table.targets["i-0"])


async def test_a_target_that_ends_its_limit_gets_its_share_again(tmp_path):
    targets = [TargetStandin(f"i-{n}", "app") for n in range(2)]
    targets[0].limit = "1"
    async with Deployment(tmp_path, *targets, hosts=2) as deployment:
        await send_many(deployment, "/safe/x", 2.0, 60)
        targets[0].limit = None
        # It gets one request a second, which is what shows the end.
        await send_many(deployment, "/safe/x", 3.0, 90)
        before = len(targets[0].runs)
        await send_many(deployment, "/safe/x", 1.0, 60)
        assert len(targets[0].runs) - before > 10


@pytest.mark.parametrize("value", ["many", "-1", "1e3", "nan", "", "1,5"])
async def test_a_limit_that_is_no_decimal_number_is_ignored(tmp_path, value):
    target = TargetStandin("i-0", "app")
    target.limit = value
    async with Deployment(tmp_path, target) as deployment:
        answers = await send_many(deployment, "/safe/x", 0.5, 20)
        assert statuses(answers) == [200] * 20
