"""Errors of the host's components, which must not be taken for a lost caller."""

import asyncio

import pytest

from tests.platform.deployment import Deployment
from tests.platform.raw_caller import raw_caller, read_head, request_bytes
from tests.platform.target_standin import TargetStandin

ERRORS = [ConnectionResetError("peer"), asyncio.CancelledError()]


def raising(exc, on_call=lambda *args: None):
    async def call(*args):
        on_call(*args)
        raise exc

    return call


def events(logged):
    return {line["event"]: line for line in logged}


@pytest.mark.parametrize("exc", ERRORS, ids=repr)
async def test_a_failed_component_is_reported_as_not_run_before_the_request_is_sent(
    tmp_path, logged, monkeypatch, exc
):
    target = TargetStandin("i-app", "app")
    async with Deployment(tmp_path, target) as deployment:
        parts = deployment.relays[0].server.parts
        monkeypatch.setattr(parts.limiter, "admit", raising(exc))
        status, headers, _ = await deployment.call(
            "/pay/x", "POST", b"m", Magnoliaroad_Request_Id="r-1"
        )
    assert (status, target.runs) == (503, [])
    assert headers["Magnoliaroad-Request-Id"] == "r-1"
    assert float(headers["Retry-After"]) > 0
    assert "caller left" not in events(logged)
    assert events(logged)["refused"]["verdict"] == "not run"
    assert events(logged)["request failed"]["request"] == "r-1"


@pytest.mark.parametrize("exc", ERRORS, ids=repr)
async def test_a_failed_component_is_reported_as_may_have_run_once_sent(
    tmp_path, logged, monkeypatch, exc
):
    target = TargetStandin("i-app", "app")
    async with Deployment(tmp_path, target) as deployment:
        client = deployment.relays[0].client

        def mark_sent(request, timeout_s, on_sent, on_connected):
            on_sent()

        monkeypatch.setattr(client, "open", raising(exc, mark_sent))
        status, headers, _ = await deployment.call(
            "/pay/x", "POST", b"m", Magnoliaroad_Request_Id="r-1"
        )
    assert status == 502
    assert headers["Magnoliaroad-Request-Id"] == "r-1"
    assert "caller left" not in events(logged)
    assert events(logged)["refused"]["verdict"] == "may have run"


@pytest.mark.parametrize(
    ("exc", "reason"),
    [
        (TimeoutError(), "turn not kept in time"),
        (ConnectionResetError("peer"), "host failed"),
        (asyncio.CancelledError(), "host failed"),
    ],
    ids=repr,
)
async def test_the_log_names_why_a_stream_was_cut_off(
    tmp_path, logged, monkeypatch, exc, reason
):
    target = TargetStandin("i-lm", "lm")
    async with Deployment(tmp_path, target) as deployment:
        turns = deployment.relays[0].server.parts.turns
        monkeypatch.setattr(turns, "save", raising(exc))
        _, _, body = await deployment.turn()
    assert body is None
    assert "caller left" not in events(logged)
    cut = events(logged)["answer cut off"]
    assert cut["reason"] == reason
    assert type(exc).__name__ in cut["cause"]


async def test_the_log_names_a_target_that_broke_off(tmp_path, logged):
    target = TargetStandin("i-lm", "lm")
    target.script = ["cut"]
    async with Deployment(tmp_path, target) as deployment:
        _, _, body = await deployment.turn()
    assert body is None
    assert events(logged)["answer cut off"]["reason"] == "target broke off"


async def test_a_caller_that_leaves_is_logged_as_such(tmp_path, logged):
    target = TargetStandin("i-app", "app")
    target.script = ["silent"]
    async with Deployment(tmp_path, target) as deployment:
        async with raw_caller(deployment) as (_, writer):
            writer.write(request_bytes(deployment.headers(), "/safe/x"))
            await deployment.until(lambda: target.in_flight == 1)
        await deployment.until(lambda: "caller left" in events(logged))
    assert not {"refused", "answer cut off", "request failed"} & set(events(logged))


async def test_an_error_after_the_whole_answer_does_not_disturb_it(
    tmp_path, monkeypatch
):
    target = TargetStandin("i-app", "app")
    async with Deployment(tmp_path, target) as deployment:
        monkeypatch.setattr(
            "magnoliaroad.relay.run.RelayRun._settle_charges",
            lambda run: {}["missing"],
        )
        async with raw_caller(deployment) as (reader, writer):
            for _ in range(2):
                writer.write(request_bytes(deployment.headers(), "/safe/x"))
                status, headers = await read_head(reader)
                body = await reader.readexactly(int(headers["content-length"]))
                assert (status, body) == (200, b"whole")
