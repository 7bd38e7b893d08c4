"""Turns that end shortly before the time limit of their request."""

import asyncio

from tests.platform.deployment import Deployment
from tests.platform.target_standin import TargetStandin


async def test_a_turn_that_is_kept_after_the_time_limit_is_whole(tmp_path):
    """LOST: the limit ended the storing of a turn whose events had all arrived."""
    target = TargetStandin("i-lm")
    async with Deployment(tmp_path, target) as deployment:
        await deployment.start_records()
        turns = deployment.relays[0].server.parts.turns
        save = turns.save

        async def save_slowly(*args):
            await asyncio.sleep(0.7)
            await save(*args)

        turns.save = save_slowly
        status, request_id, body = await deployment.turn(Magnoliaroad_Deadline_Ms="500")
        assert (status, body.count(b"data: ")) == (200, target.events)
        turns.save = save
        status, _, _ = await deployment.turn(Magnoliaroad_Previous_Turn=request_id)
        assert status == 200
