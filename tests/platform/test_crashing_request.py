"""Requests that crash the targets that run them must be quarantined on all hosts."""

import asyncio
import functools
import time

import pytest
from returns.pipeline import is_successful

from magnoliaroad.quarantine.entry import QuarantineState, cleared
from magnoliaroad.quarantine.stored_list import save_entries
from tests.platform.deployment import Deployment
from tests.platform.target_standin import TargetStandin

# The platform's bounds: time in seconds after the third crash within which all hosts
# must know of the request, and how often it may still reach a target after that.
KNOWN_EVERYWHERE_S = 3.0
MAX_SENT_AFTER = 3
POISON = b"poison"
RESEND_INTERVAL_S = 0.3


def crash_on_poison(deployment):
    """Makes every target crash on one body and register again after its restart."""
    for target in deployment.targets:
        target.poison = POISON
        key = f"servers/{target.name}"
        target.on_start = lambda target=target, key=key: deployment.kv.write(
            key, target.entry()
        )


async def send_repeatedly(deployment, path, until, **headers):
    """Sends one request repeatedly until a time, to each host in turn, with new ids."""
    loop = asyncio.get_running_loop()
    sent = []
    while loop.time() < until:
        relay = len(sent) % len(deployment.relays)
        call = deployment.call(path, "POST", POISON, relay, **headers)
        sent.append(asyncio.create_task(call))
        await asyncio.sleep(RESEND_INTERVAL_S)
    return await asyncio.gather(*sent, return_exceptions=True)


def knows_blocked(relay):
    """Returns whether a host refuses some request."""
    entries = relay.quarantine.blocklist.all()
    return any(entry.state is QuarantineState.BLOCKED for entry in entries)


def crashes(deployment):
    return sorted(at for target in deployment.targets for at in target.crashed_at)


def crashes_after_the_third_was_known(deployment):
    times = crashes(deployment)
    return (
        [at for at in times if at > times[2] + KNOWN_EVERYWHERE_S]
        if len(times) > 2
        else []
    )


@pytest.mark.parametrize(
    ("path", "service"),
    [("/stream/t", "lm"), ("/pay/x", "app"), ("/safe/x", "app")],
)
async def test_a_request_that_crashes_every_target_is_quarantined(
    tmp_path, path, service
):
    targets = [TargetStandin(f"i-{n}", service) for n in range(4)]
    async with Deployment(tmp_path, *targets, hosts=3) as deployment:
        crash_on_poison(deployment)
        loop = asyncio.get_running_loop()
        await send_repeatedly(deployment, path, loop.time() + KNOWN_EVERYWHERE_S + 4.0)
        assert len(crashes_after_the_third_was_known(deployment)) <= MAX_SENT_AFTER


async def test_the_quarantine_survives_a_restart_of_all_hosts(tmp_path):
    targets = [TargetStandin(f"i-{n}", "lm") for n in range(4)]
    async with Deployment(tmp_path, *targets, hosts=2) as deployment:
        crash_on_poison(deployment)
        loop = asyncio.get_running_loop()
        await send_repeatedly(deployment, "/stream/t", loop.time() + 3.0)
        await deployment.restart_relays()
        began = loop.time()
        await send_repeatedly(deployment, "/stream/t", began + KNOWN_EVERYWHERE_S + 2.0)
        late = [at for at in crashes(deployment) if at > began + KNOWN_EVERYWHERE_S]
        assert len(late) <= MAX_SENT_AFTER
        assert len(crashes_after_the_third_was_known(deployment)) <= MAX_SENT_AFTER


async def test_a_request_that_makes_targets_hang_is_quarantined(tmp_path):
    """Their connections stay open; only their removed entries show the crash."""
    targets = [TargetStandin(f"i-{n}", "app") for n in range(4)]
    async with Deployment(tmp_path, *targets, hosts=3) as deployment:
        crash_on_poison(deployment)
        for target in targets:
            target.hangs_on_crash = True
            target.on_crash = functools.partial(
                deployment.kv.delete, f"servers/{target.name}"
            )
        loop = asyncio.get_running_loop()
        headers = {"Magnoliaroad_Deadline_Ms": "300"}
        until = loop.time() + KNOWN_EVERYWHERE_S + 4.0
        await send_repeatedly(deployment, "/pay/x", until, **headers)
        assert len(crashes_after_the_third_was_known(deployment)) <= MAX_SENT_AFTER


async def send_until_refused(deployment, path):
    for _ in range(20):
        status, headers, _ = await deployment.call(path, "POST", POISON)
        if status == 503 and float(headers["Retry-After"]) > 60.0:
            return
        await asyncio.sleep(RESEND_INTERVAL_S)
    pytest.fail("the request was never refused")


async def test_a_quarantined_request_is_not_run_and_others_are_served(tmp_path):
    targets = [TargetStandin(f"i-{n}", "app") for n in range(4)]
    async with Deployment(tmp_path, *targets) as deployment:
        crash_on_poison(deployment)
        await send_until_refused(deployment, "/pay/x")
        ends = len(crashes(deployment))
        # Long enough for targets to restart and for their cooldowns to end.
        await asyncio.sleep(1.0)
        for _ in range(5):
            assert (await deployment.call("/pay/x", "POST", POISON))[0] == 503
            assert (await deployment.call("/pay/y", "POST", POISON + b"2"))[0] == 200
        other = await deployment.call(
            "/pay/x", "POST", b"m", Authorization="Bearer secret-of-other"
        )
        assert other[0] == 200
        assert len(crashes(deployment)) == ends


async def test_turns_with_the_words_of_a_quarantined_one_go_on(tmp_path):
    """LOST: the quarantine of one turn held for all that said the same words."""
    targets = [TargetStandin(f"i-{n}", "lm") for n in range(4)]
    async with Deployment(tmp_path, *targets, hosts=2) as deployment:
        crash_on_poison(deployment)

        async def turn(words, previous=None):
            return await deployment.turn(words, Magnoliaroad_Previous_Turn=previous)

        _, bad, _ = await turn(b"bad;")
        _, same_as_bad, _ = await turn(b"bad;")
        _, sound, _ = await turn(b"sound;")
        await turn(b"probe", bad)
        (body,) = (run[3] for t in targets for run in t.runs if b"probe" in run[3])
        for target in targets:
            target.poison = body.replace(b"probe", POISON)
        while not all(map(knows_blocked, deployment.relays)):
            await turn(POISON, bad)
            await asyncio.sleep(RESEND_INTERVAL_S)
        await asyncio.sleep(1.0)
        ends = len(crashes(deployment))
        assert (await turn(POISON, sound))[0] == 200
        assert (await turn(POISON))[0] == 200
        assert (await turn(b"other words", bad))[0] == 200
        # What targets get is the same, whatever the ids of the turns before.
        assert (await turn(POISON, bad))[0] == 503
        assert (await turn(POISON, same_as_bad))[0] == 503
        assert len(crashes(deployment)) == ends


async def test_a_request_cleared_by_an_operator_is_sent_again(tmp_path):
    targets = [TargetStandin(f"i-{n}", "app") for n in range(4)]
    async with Deployment(tmp_path, *targets, hosts=2) as deployment:
        crash_on_poison(deployment)
        await send_until_refused(deployment, "/pay/x")
        for target in targets:
            target.poison = None
        now = time.time()
        store = deployment.relays[0].store
        known = deployment.relays[0].quarantine.blocklist.all()
        entries = [cleared(entry.fingerprint, now, 60.0) for entry in known]
        await save_entries(store, entries, now)
        for relay in (0, 1):
            quarantine = deployment.relays[relay].quarantine
            await deployment.until(
                lambda quarantine=quarantine: is_successful(
                    quarantine.check(known[0].fingerprint)
                )
            )
            status, _, _ = await deployment.call("/pay/x", "POST", POISON, relay)
            assert status == 200


async def test_attempts_of_one_request_share_a_fingerprint_in_the_logs(
    tmp_path, logged
):
    targets = [TargetStandin(f"i-{n}", "app") for n in range(2)]
    async with Deployment(tmp_path, *targets, hosts=2) as deployment:
        crash_on_poison(deployment)
        for relay in (0, 1):
            await deployment.call("/pay/x", "POST", POISON, relay)
        await deployment.call("/pay/x", "POST", b"other")
    lines = [line for line in logged if line["event"] in ("placed", "target failed")]
    tries = {line["request"]: line["fingerprint"] for line in lines}
    failed = {
        line["request"] for line in lines if line.get("verdict") == "may have run"
    }
    assert len(tries) == 3
    assert len({tries[request] for request in failed}) == 1
    assert len(set(tries.values())) == 2
