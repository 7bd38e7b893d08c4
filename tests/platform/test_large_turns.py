"""Turns at the limits of the configuration survive the loss of disks (LOST).

Guards against turns that the store refuses, which then hold up the records of others.
"""

import asyncio
import shutil

import pytest

from tests.platform.deployment import Deployment, config
from tests.platform.raw_target import RawTarget, by_last_chunk
from tests.platform.target_standin import TargetStandin

LARGE_ANSWER = b"".join(
    b"id: %d\ndata: %b\n\n" % (number, b"y" * 60_000) for number in range(1, 31)
)
CASES = {
    "input": (b"x" * 1_200_000, None, TargetStandin),
    "largest input": (b"x" * 4_100_000, None, TargetStandin),
    "answer": (b"input", None, RawTarget),
    "id": (b"input", "i" * 198, TargetStandin),
}


@pytest.mark.parametrize("case", CASES)
async def test_a_turn_at_the_limits_is_stored_with_all_others(tmp_path, case):
    text, turn_id, make_target = CASES[case]
    target = make_target("i-1", "lm")
    if make_target is RawTarget:
        target.script = [by_last_chunk(LARGE_ANSWER), "ok"]
    async with Deployment(tmp_path, target) as deployment:
        limits = {"max_body_bytes": 4_194_304, "idle_timeout_ms": 15000}
        deployment.kv.write("op/config", config(4, limits=limits))
        await deployment.until(lambda: deployment.relays[0].plans.plan.version == 4)
        await deployment.start_records()
        named = {} if turn_id is None else {"Magnoliaroad_Request_Id": turn_id}
        turns = [await deployment.turn(text, **named)]
        turns += [await deployment.turn(b"small", f"p-{n}") for n in range(5)]
        assert {status for status, *_ in turns} == {200}
        records = deployment.records.records
        await deployment.until(lambda: not records.unstored_count, 10.0)
        assert not records._pending.refused_count
        await deployment.records.stop()
        deployment.records = None
        shutil.rmtree(tmp_path / "records")
        await deployment.restart_relays()
        await deployment.start_records()
        for _, previous, _ in turns:
            status, _, _ = await deployment.turn(
                b"next", Magnoliaroad_Previous_Turn=previous
            )
            assert status == 200
        run = next(run for run in target.runs if run[3].endswith(b"next"))
        assert run[3].startswith(text)
        assert len(run[3]) > len(text) + 10


async def test_large_requests_do_not_take_a_host_over_its_memory(tmp_path):
    """Guards against a host that the platform ends for its memory (FAULT)."""
    target = TargetStandin("i-1", "app")
    target.script = ["slow"]
    async with Deployment(tmp_path, target) as deployment:
        memory = deployment.relays[0].server.parts.memory
        most = 0

        async def send():
            nonlocal most
            answer = await deployment.call("/pay/x", "POST", b"x" * 900_000)
            most = max(most, memory.held_bytes)
            return answer

        answers = await asyncio.gather(*(send() for _ in range(60)))
        statuses = [status for status, _, _ in answers]
        assert set(statuses) == {200, 503}
        assert most <= deployment.relays[0].cfg.memory.request_bytes
        for status, headers, _ in answers:
            assert (status == 200) != ("Retry-After" in headers)
        assert len(target.runs) == statuses.count(200)
        assert not memory.held_bytes
        assert (await deployment.call("/pay/x", "POST", b"m"))[0] == 200
