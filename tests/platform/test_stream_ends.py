"""Streams that end inside an event."""

import pytest

from tests.platform.deployment import Deployment
from tests.platform.raw_target import FRAMINGS, RawTarget

EVENT = b"id: 1\ndata: one\n\n"
CUT = EVENT + b"id: 2\ndata: tw"


@pytest.mark.parametrize("path", ["/stream/x", "/plan/x"])
@pytest.mark.parametrize("framing", FRAMINGS)
async def test_a_stream_that_ends_inside_an_event_is_broken_off(
    tmp_path, framing, path
):
    target = RawTarget("i-lm")
    async with Deployment(tmp_path, target) as deployment:
        await deployment.start_records()
        target.script = [framing(CUT)]
        status, _, body = await deployment.call(path, "POST", b"m")
        assert (status, body) == (200, None)
        target.script = [framing(EVENT + b": end\n\n")]
        status, _, body = await deployment.call(path, "POST", b"m")
        assert (status, body) == (200, EVENT + b": end\n\n")
        target.script = [framing(b"{}", "Content-Type: application/json")]
        status, _, body = await deployment.call(path, "POST", b"m")
        assert (status, body) == (200, b"{}")


@pytest.mark.parametrize("framing", FRAMINGS)
async def test_a_turn_that_ends_inside_an_event_is_not_kept(tmp_path, framing):
    target = RawTarget("i-lm")
    target.script = [framing(CUT)]
    async with Deployment(tmp_path, target) as deployment:
        await deployment.start_records()
        status, turn, body = await deployment.turn()
        assert (status, body) == (200, None)
        status, _, _ = await deployment.turn(Magnoliaroad_Previous_Turn=turn)
        assert status in (404, 503)
        assert len(target.runs) == 1
