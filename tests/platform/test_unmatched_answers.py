"""Answers that do not state the id of the request they are read for."""

import time

import pytest

from tests.platform.deployment import Deployment
from tests.platform.raw_target import EVENTS, OWN_ID, SEAL, End, RawTarget, head

NOT_RUN = "Magnoliaroad-Not-Executed: 1"
EMPTY = "Content-Length: 0"
ANSWER = head(SEAL, OWN_ID, EVENTS, "Content-Length: 11") + b"data: one\n\n"
EARLIER = "Magnoliaroad-Request-Id: earlier"
REFUSALS = {
    "503": head(NOT_RUN, EMPTY, status=503),
    "503 with a body": head(NOT_RUN, "Content-Length: 4", status=503) + b"full",
    "429": head(NOT_RUN, EMPTY, status=429),
    "400": head(NOT_RUN, EMPTY, status=400),
    "421": head("Magnoliaroad-Instance-Id: x", EMPTY, status=421),
    "503 of another": head(
        NOT_RUN, EMPTY, "Magnoliaroad-Request-Id: another", status=503
    ),
    "408": head(NOT_RUN, EMPTY, status=408),
}
CODES = (408, 421, 429, 503)
IDS = {
    "earlier": EARLIER,
    "earlier twice": f"{EARLIER}\r\n{EARLIER}",
    "own and earlier": f"{OWN_ID}\r\n{EARLIER}",
    "earlier and own": f"{EARLIER}\r\n{OWN_ID}",
}
PATHS = {"/pay/x": "app", "/stream/x": "lm", "/plan/x": "lm"}


def targets_of(path):
    return [RawTarget(f"i-{number}", PATHS[path]) for number in (1, 2)]


async def prepare(deployment, path):
    """Opens a kept connection to the first target; the second is not known yet."""
    if path == "/stream/x":
        await deployment.start_records()
    first, second = deployment.targets
    deployment.kv.write("servers/i-2", second.entry(state="draining"))
    table = deployment.relays[0].table
    await deployment.until(lambda: table.targets["i-2"].state != "ready")
    first.script = [(ANSWER,)]
    status, _, body = await deployment.call(
        path, "POST", b"m", Magnoliaroad_Request_Id="earlier"
    )
    assert (status, body) == (200, b"data: one\n\n")
    deployment.kv.write("servers/i-2", second.entry())
    await deployment.until(lambda: table.targets["i-2"].state == "ready")


async def check_runs_once(tmp_path, path, refusal):
    """Both targets refuse so, then run the request that they were sent."""
    async with Deployment(tmp_path, *targets_of(path)) as deployment:
        await prepare(deployment, path)
        ran_before = len(deployment.targets[0].runs)
        for target in deployment.targets:
            target.script = [(refusal, 0.02, ANSWER)]
        status, _, _ = await deployment.call(path, "POST", b"pay")
        runs = sum(len(target.runs) for target in deployment.targets)
        assert (status, runs - ran_before) == (502, 1)


@pytest.mark.parametrize("refusal", REFUSALS)
@pytest.mark.parametrize("path", PATHS)
async def test_a_refusal_without_the_requests_id_sends_nothing_twice(
    tmp_path, path, refusal
):
    await check_runs_once(tmp_path, path, REFUSALS[refusal])


@pytest.mark.parametrize("ids", IDS)
@pytest.mark.parametrize(
    ("path", "code"),
    [*(("/pay/x", code) for code in CODES), ("/stream/x", 503), ("/plan/x", 503)],
)
async def test_a_refusal_with_an_earlier_id_sends_nothing_twice(
    tmp_path, path, code, ids
):
    refusal = head(NOT_RUN, IDS[ids], EMPTY, status=code)
    await check_runs_once(tmp_path, path, refusal)


@pytest.mark.parametrize("code", CODES)
@pytest.mark.parametrize("path", PATHS)
async def test_a_refusal_that_is_written_once_more_refuses_no_other_request(
    tmp_path, path, code
):
    refusal = head(NOT_RUN, OWN_ID, EMPTY, status=code)
    again = refusal.replace(b"{id}", b"refused")
    target = RawTarget("i-1", PATHS[path])
    async with Deployment(tmp_path, target) as deployment:
        if path == "/stream/x":
            await deployment.start_records()
        target.script = [(refusal,), (again, 0.02, ANSWER)]
        status, _, _ = await deployment.call(
            path, "POST", b"m", Magnoliaroad_Request_Id="refused"
        )
        assert status == 503
        status, _, _ = await deployment.call(path, "POST", b"m")
        assert status == 502
        target.script = [(refusal + refusal,), (ANSWER,)]
        assert (await deployment.call(path, "POST", b"m"))[0] == 503
        status, _, body = await deployment.call(path, "POST", b"m")
        assert (status, body) == (200, b"data: one\n\n")


async def test_a_connection_with_an_unmatched_answer_is_closed(tmp_path):
    target = RawTarget("i-1", "app")
    async with Deployment(tmp_path, target) as deployment:
        target.script = [(REFUSALS["503"], End.BY_HOST), (ANSWER,)]
        assert (await deployment.call("/pay/x", "POST", b"m"))[0] == 502
        await deployment.until(lambda: target.abandoned, 0.4)
        # The first failure of a target keeps requests from it for half a second.
        table = deployment.relays[0].table
        await deployment.until(lambda: table.usable("app", time.monotonic(), set()))
        status, _, body = await deployment.call("/pay/x", "POST", b"m")
        assert (status, body) == (200, b"data: one\n\n")


@pytest.mark.parametrize("status", [503, 200])
async def test_an_unmatched_answer_does_not_mark_its_target_as_leaving(
    tmp_path, status
):
    target = RawTarget("i-1", "app")
    stray = head(NOT_RUN, SEAL, EMPTY, "Server-Leaving: 1", status=status)
    async with Deployment(tmp_path, target) as deployment:
        target.script = [(stray, 0.02, ANSWER)]
        assert (await deployment.call("/pay/x", "POST", b"m"))[0] == 502
        leaving = deployment.relays[0].table.leaving
        known = deployment.relays[0].table.targets["i-1"]
        assert known not in leaving


@pytest.mark.parametrize("status", [200, 500])
async def test_an_answer_without_an_id_is_not_passed_on(tmp_path, status):
    target = RawTarget("i-1", "app")
    async with Deployment(tmp_path, target) as deployment:
        target.script = [(head(SEAL, "Content-Length: 5", status=status) + b"other",)]
        status, _, body = await deployment.call("/pay/x", "POST", b"m")
        assert status == 502
        assert b"other" not in body


@pytest.mark.parametrize(("refusal", "expected"), [("400", 503), ("503", 502)])
async def test_to_a_request_without_an_id_only_a_400_counts_as_a_refusal(
    tmp_path, refusal, expected
):
    target = RawTarget("i-1", "app")
    async with Deployment(tmp_path, target) as deployment:
        target.script = [(REFUSALS[refusal], 0.02, ANSWER)]
        status, _, _ = await deployment.call(
            "/pay/x", "POST", b"m", Magnoliaroad_Request_Id=""
        )
        assert status == expected
