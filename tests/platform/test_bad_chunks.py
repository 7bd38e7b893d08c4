"""Chunks of an answer that are no HTTP, after the head has arrived."""

import asyncio

import pytest

from tests.platform.deployment import Deployment
from tests.platform.raw_target import CHUNKED, OWN_ID, SEAL, End, RawTarget, head

BAD_CHUNK = (head(SEAL, OWN_ID, CHUNKED) + b"1\r\nx\r\n", 0.05, b"z\r\n", End.BY_HOST)


@pytest.mark.parametrize(("path", "service"), [("/pay/x", "app"), ("/plan/x", "lm")])
async def test_a_bad_chunk_ends_the_answer_before_the_time_limit(
    tmp_path, path, service
):
    target = RawTarget("i-1", service)
    target.script = [BAD_CHUNK]
    async with Deployment(tmp_path, target) as deployment:
        async with asyncio.timeout(1.0):
            status, headers, body = await deployment.call(path, "POST", b"m")
        # A payment may have run; what has begun to be passed on is cut.
        cut = (200, None)
        assert (status, body) == cut if service == "lm" else status == 502
        assert len(target.runs) == 1
