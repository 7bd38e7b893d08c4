"""What the soak does to targets that are short of room, and to the hosts' settings."""

import asyncio
import types

from tests.platform.target_standin import TargetStandin
from tests.soak.busy_targets import LIES, SLOTS, choose_host_settings, state_loads


async def test_targets_state_loads_and_lies_and_have_room_at_the_end():
    """Guards against a check at the end that meets targets without room."""
    target, stated = TargetStandin("i-1", "app"), set()
    callers = types.SimpleNamespace(fleet=types.SimpleNamespace(targets=[target]))
    loop = asyncio.get_running_loop()
    task = asyncio.create_task(state_loads(callers, 1, loop.time() + 0.6))
    while not task.done():
        await asyncio.sleep(0.002)
        stated.add((target.load, target.places))
    loads = {load for load, places in stated if places == SLOTS["app"]}
    assert loads & set(LIES)
    assert any(load.startswith("0,0,4,") for load in loads)
    assert (target.load, target.places, target.work_s) == (None, None, 0.0)


def test_seeds_turn_waiting_and_second_attempts_on_and_off():
    """Guards against a soak that plays one of them only."""
    chosen = [choose_host_settings(seed) for seed in range(40)]
    kinds = {(s["waiting"]["enabled"], "hedging" in s) for s in chosen}
    assert len(kinds) == 6
    assert choose_host_settings(3) == chosen[3]
