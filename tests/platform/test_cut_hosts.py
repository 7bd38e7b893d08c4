"""Hosts that have lost their network path to all targets (RECOVER)."""

import asyncio
import time

import aiohttp
import pytest

from magnoliaroad.relay.detour_messages import DetourFailure, DetourRequest
from tests.platform.cut_path import CUTS, CutPath
from tests.platform.deployment import Deployment
from tests.platform.target_standin import TargetStandin

# Time from a cut until callers are served as before, in seconds; the platform's bound
# for contact.
CONTACT_S = 3.0
# Times at which requests are sent after a cut, in seconds.
PACE_S = 0.05
PATHS = {"/safe/x": "GET", "/pay/x": "POST", "/plan/x": "POST"}


def targets():
    return [TargetStandin(f"i-app{n}", "app") for n in range(2)] + [
        TargetStandin(f"i-lm{n}", "lm") for n in range(2)
    ]


def runs(deployment):
    return [
        run[2]["magnoliaroad-request-id"]
        for target in deployment.targets
        for run in target.runs
    ]


async def warm_up(deployment):
    """Opens connections to targets, as a host in use has them."""
    for path, method in PATHS.items():
        calls = [deployment.call(path, method, b"m") for _ in range(4)]
        assert {status for status, _, _ in await asyncio.gather(*calls)} == {200}


async def until_cut(deployment, *services, relay=0):
    """Sends requests until a host has found out that it is cut off."""
    host = deployment.relays[relay]
    await deployment.until(host.fleet.helpers)
    for service in services:
        path = "/safe/x" if service == "app" else "/plan/x"
        while not host.prober.paths.is_cut(service):
            await deployment.call(path, "POST", b"m", relay=relay)


@pytest.mark.parametrize("how", CUTS)
async def test_callers_of_a_host_that_is_cut_off_are_served(tmp_path, how):
    """RECOVER: a host without a path to targets refused its callers after 1.7 s."""
    async with Deployment(tmp_path, *targets(), hosts=2) as deployment:
        await warm_up(deployment)
        CutPath(deployment.relays[0]).cut(how)
        began = time.monotonic()
        tasks = []
        while time.monotonic() - began < CONTACT_S + 1.0:
            for path, method in PATHS.items():
                call = deployment.call(path, method, b"m")
                tasks.append((time.monotonic() - began, asyncio.create_task(call)))
            await asyncio.sleep(PACE_S)
        answers = [(at, await task) for at, task in tasks]
    late = [answer for at, answer in answers if at > CONTACT_S]
    served = sum(status == 200 and bool(body) for status, _, body in late)
    assert served >= 0.9 * len(late)
    ran = runs(deployment)
    assert len(ran) == len(set(ran))


async def test_events_pass_a_peer_as_they_arrive(tmp_path):
    slow = [TargetStandin(f"i-lm{n}", "lm") for n in range(2)]
    async with Deployment(tmp_path, *slow, hosts=2) as deployment:
        CutPath(deployment.relays[0]).cut("refuse")
        await until_cut(deployment, "lm")
        for target in slow:
            target.script = ["slowly"]
        url = f"http://{deployment.relays[0].cfg.listen.callers}/plan/x"
        arrivals = []
        async with deployment.session.post(
            url, data=b"m", headers=deployment.headers()
        ) as resp:
            async for chunk, _ in resp.content.iter_chunks():
                if chunk:
                    arrivals.append((time.monotonic(), chunk))
    assert [chunk.count(b"id: ") for _, chunk in arrivals] == [1, 1, 1]
    assert arrivals[1][0] - arrivals[0][0] == pytest.approx(0.3, abs=0.12)


@pytest.mark.parametrize("path", ["/safe/x", "/plan/x"])
async def test_a_caller_that_leaves_ends_the_request_at_the_target(tmp_path, path):
    async with Deployment(tmp_path, *targets(), hosts=2) as deployment:
        CutPath(deployment.relays[0]).cut("refuse")
        await until_cut(deployment, "app", "lm")
        for target in deployment.targets:
            target.script = ["silent"]
        url = f"http://{deployment.relays[0].cfg.listen.callers}{path}"
        with pytest.raises(TimeoutError):
            await deployment.session.post(
                url,
                data=b"m",
                headers=deployment.headers(),
                timeout=aiohttp.ClientTimeout(0.3),
            )
        await deployment.until(
            lambda: sum(target.abandoned for target in deployment.targets) == 1, 0.5
        )


async def test_a_stream_whose_peer_is_lost_is_broken_off(tmp_path):
    lms = [TargetStandin(f"i-lm{n}", "lm", events=20) for n in range(2)]
    async with Deployment(tmp_path, *lms, hosts=2) as deployment:
        CutPath(deployment.relays[0]).cut("refuse")
        await until_cut(deployment, "lm")
        for target in lms:
            target.script = ["slowly"]
        call = asyncio.create_task(deployment.call("/plan/x", "POST", b"m"))
        await deployment.until(lambda: any(target.in_flight for target in lms))
        await asyncio.sleep(0.4)
        await deployment.relays.pop().stop()
        async with asyncio.timeout(4.0):
            status, _, body = await call
        assert (status, body) == (200, None)


@pytest.mark.parametrize("act", ["cut", "bare_reset", "bare_half", "chunked_half"])
async def test_a_stream_that_breaks_off_at_a_peer_is_not_complete(tmp_path, act):
    async with Deployment(tmp_path, *targets(), hosts=2) as deployment:
        CutPath(deployment.relays[0]).cut("refuse")
        await until_cut(deployment, "lm")
        for target in deployment.targets:
            target.script = [act]
        status, _, body = await deployment.call("/plan/x", "POST", b"m")
    assert (status, body) == (200, None)


async def test_a_request_that_fails_at_a_peer_keeps_its_verdict(tmp_path):
    async with Deployment(tmp_path, *targets(), hosts=2) as deployment:
        CutPath(deployment.relays[0]).cut("refuse")
        await until_cut(deployment, "app")
        before = len(runs(deployment))
        for target in deployment.targets:
            target.script = ["reset"]
        assert (await deployment.call("/pay/x", "POST", b"m"))[0] == 502
        assert len(runs(deployment)) == before + 1
        for target in deployment.targets:
            target.script = ["full"]
        assert (await deployment.call("/pay/x", "POST", b"m"))[0] == 503
        assert len(runs(deployment)) == before + 1


async def test_a_stream_goes_on_when_the_path_is_back(tmp_path):
    lms = [TargetStandin(f"i-lm{n}", "lm", events=5) for n in range(2)]
    async with Deployment(tmp_path, *lms, hosts=2) as deployment:
        path = CutPath(deployment.relays[0])
        path.cut("silent")
        await until_cut(deployment, "lm")
        for target in lms:
            target.script = ["slowly"]
        call = asyncio.create_task(deployment.call("/plan/x", "POST", b"m"))
        await deployment.until(lambda: any(target.in_flight for target in lms))
        path.heal()
        paths = deployment.relays[0].prober.paths
        await deployment.until(lambda: not paths.is_cut("lm"), 1.0)
        status, _, body = await call
        assert (status, body.count(b"id: ")) == (200, 5)


async def test_requests_are_refused_at_once_if_no_host_reaches_the_targets(tmp_path):
    async with Deployment(tmp_path, *targets(), hosts=2) as deployment:
        for number, relay in enumerate(deployment.relays):
            CutPath(relay).cut("silent")
            await until_cut(deployment, "app", relay=number)
        before = len(runs(deployment))
        for _ in range(5):
            began = time.monotonic()
            status, headers, _ = await deployment.call("/pay/x", "POST", b"m")
            assert status == 503
            assert float(headers["Retry-After"]) > 0
            assert time.monotonic() - began < 0.2
        assert len(runs(deployment)) == before


async def test_a_target_that_failed_alone_is_no_cut(tmp_path):
    async with Deployment(tmp_path, *targets(), hosts=2) as deployment:
        await warm_up(deployment)
        await deployment.targets[0].exit()
        for _ in range(20):
            status, _, _ = await deployment.call("/safe/x", "POST", b"m")
            assert status == 200
        await asyncio.sleep(0.6)
        assert deployment.relays[0].prober.paths.cut == []


async def test_a_target_that_stands_still_for_a_second_is_no_cut(tmp_path):
    async with Deployment(tmp_path, *targets(), hosts=2) as deployment:
        await warm_up(deployment)
        for target in deployment.targets:
            target.script = ["slow"]
        calls = [deployment.call("/pay/x", "POST", b"m") for _ in range(4)]
        assert {status for status, _, _ in await asyncio.gather(*calls)} == {200}
        assert deployment.relays[0].prober.paths.cut == []
        for relay in deployment.relays:
            assert relay.table.cooldowns(time.monotonic()) == {}


async def test_turns_and_budgets_hold_at_a_host_that_is_cut_off(tmp_path):
    lms = [TargetStandin(f"i-lm{n}", "lm") for n in range(2)]
    async with Deployment(tmp_path, *lms, hosts=2) as deployment:
        await deployment.start_records()
        status, first, _ = await deployment.turn(b"one", budget=130)
        assert status == 200
        CutPath(deployment.relays[0]).cut("reset")
        await until_cut(deployment, "lm")
        status, second, _ = await deployment.turn(
            b"two", budget=130, Magnoliaroad_Previous_Turn=first
        )
        assert status == 200
        body = next(
            run[3]
            for target in lms
            for run in target.runs
            if run[2]["magnoliaroad-request-id"] == second
        )
        assert body == b"oneword1\nword2\nword3\ntwo"
        status, _, _ = await deployment.turn(
            b"three", budget=130, Magnoliaroad_Previous_Turn=second
        )
        assert status == 402


def detour_request(target, /, **changes):
    fields = {
        "token": "t-1",
        "request_id": "r-1",
        "target": target.name,
        "started_ms": target.born,
        "address": target.address,
        "method": "POST",
        "url": f"http://{target.address}/pay/x".encode(),
        "headers": [(b"Magnoliaroad-Request-Id", b"r-1")],
        "body": b"m",
        "limit_s": 1.0,
    }
    return DetourRequest(**{**fields, **changes})


@pytest.mark.parametrize(
    ("changes", "reason"),
    [
        ({}, ""),
        ({"target": "i-gone"}, "target unknown"),
        ({"started_ms": 7}, "target unknown"),
        ({"address": "127.0.0.1:9"}, "target unknown"),
        ({"url": b"http://127.0.0.1:9/pay/x"}, "address of another target"),
        ({"limit_s": 0.0}, "too late"),
    ],
)
async def test_a_peer_sends_no_request_that_makes_no_sense(tmp_path, changes, reason):
    async with Deployment(tmp_path, *targets(), hosts=2) as deployment:
        first = deployment.relays[0]
        await deployment.until(first.fleet.helpers)
        message = detour_request(deployment.targets[0], **changes)
        reply = await first.peers.call("relay-1", message)
        if reason:
            assert reply == DetourFailure("peer unable", False, reason)
            assert runs(deployment) == []
        else:
            assert reply.status == 200
            assert runs(deployment) == ["r-1"]


async def test_a_peer_sends_nothing_to_a_target_that_leaves(tmp_path):
    async with Deployment(tmp_path, *targets(), hosts=2) as deployment:
        first, second = deployment.relays
        await deployment.until(first.fleet.helpers)
        target = deployment.targets[0]
        second.table.leaving.mark(second.table.targets[target.name], time.monotonic())
        reply = await first.peers.call("relay-1", detour_request(target))
    assert reply.reason == "target leaves"
    assert runs(deployment) == []


async def test_a_request_passes_one_peer_at_most(tmp_path):
    """A host that is cut off sends the request of a peer to no third host."""
    async with Deployment(tmp_path, *targets(), hosts=3) as deployment:
        CutPath(deployment.relays[1]).cut("refuse")
        await until_cut(deployment, "app", relay=1)
        first = deployment.relays[0]
        await deployment.until(lambda: len(first.fleet.helpers()) == 2)
        before = runs(deployment)
        reply = await first.peers.call("relay-1", detour_request(deployment.targets[0]))
        assert reply.reason == "cut off from the targets"
        assert runs(deployment) == before


async def test_a_host_that_stops_ends_the_requests_of_peers_first(tmp_path):
    """LOST: the answers of callers at another host would be cut off."""
    lms = [TargetStandin(f"i-lm{n}", "lm", events=5) for n in range(2)]
    async with Deployment(tmp_path, *lms, hosts=2) as deployment:
        CutPath(deployment.relays[0]).cut("refuse")
        await until_cut(deployment, "lm")
        for target in lms:
            target.script = ["slowly"]
        call = asyncio.create_task(deployment.call("/plan/x", "POST", b"m"))
        await deployment.until(lambda: any(target.in_flight for target in lms))
        helper = deployment.relays.pop()
        await helper.drain()
        await helper.stop()
        status, _, body = await call
    assert (status, body.count(b"id: ")) == (200, 5)


async def test_a_peer_that_heard_nothing_for_a_while_keeps_the_answers(
    tmp_path, monkeypatch
):
    """Soak seed 8028: after a pause the peer dropped the answers of all hosts."""
    lms = [TargetStandin(f"i-lm{n}", "lm", events=6) for n in range(2)]
    async with Deployment(tmp_path, *lms, hosts=2) as deployment:
        CutPath(deployment.relays[0]).cut("refuse")
        await until_cut(deployment, "lm")
        for target in lms:
            target.script = ["slowly"]
        fleet = deployment.relays[1].fleet
        monkeypatch.setattr(fleet, "_receive_heartbeat", lambda *args: None)
        status, _, body = await deployment.call("/plan/x", "POST", b"m")
        assert fleet._tracker.silent == {"relay-0"}
    assert (status, body.count(b"id: ")) == (200, 6)
