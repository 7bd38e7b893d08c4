"""A looping program is stopped and returns within the retention of its turns.

Its first sub-agents come through zone a, the later ones through zone b, until a turn is
answered 402. With trouble it returns through zone a 57 s after it was stopped; without,
after 3 s. Nothing else happens: no process ends and no link is cut.
"""

import asyncio
import time
from pathlib import Path

from review.harness import Runner, System, config, main

# The example of PROTOCOL.md: the budget, and the most of one turn.
BUDGET = 4704
TURN_TOKENS = 588
TOKENS_PER_EVENT = 14
RETENTION_S = 60.0
PAUSE_S = 57.0
# Time between two sub-agents in zone b.
BETWEEN_S = 7.2


async def play(record, folder, trouble):
    async with System(folder, record, config(), relays=(3, 2, 2)) as system:
        for zone in "abc":
            runner = Runner(f"i-lm-{zone}", "lm-pool", f"zone-{zone}")
            runner.events = TURN_TOKENS // TOKENS_PER_EVENT
            runner.pause_s = 0.002
            await system.add_runner(runner)
        await system.until_ready()
        await asyncio.sleep(4.0)
        zone_a, zone_b = system.relays[0], system.relays[3]
        handed = 0

        async def turn(relay):
            """Sends the first turn of a sub-agent; returns its status."""
            nonlocal handed
            status, request_id, body, _ = await system.turn(
                relay, b"a sub-agent", "3fa81c", BUDGET, TURN_TOKENS
            )
            tokens = body.count(b"\n\n") * TOKENS_PER_EVENT
            handed += tokens
            record(
                f"turn {request_id} through {relay.zone}: {status},"
                f" {tokens} tokens, {handed} of {BUDGET} so far"
            )
            return status

        async def turns_until_refused(relay, pause_s):
            """Starts sub-agents; after a 402 sends a turn twice more."""
            refused = 0
            while refused < 3 and handed < 3 * BUDGET:
                refused += await turn(relay) == 402
                await asyncio.sleep(0.3 if refused else pause_s)

        for _ in range(4):
            await turn(zone_a)
        record("the program goes on through zone b")
        await asyncio.sleep(BETWEEN_S)
        await turns_until_refused(zone_b, BETWEEN_S)
        stopped = time.monotonic()
        record("the program is stopped")
        await asyncio.sleep(PAUSE_S if trouble else 3.0)
        pause_s = time.monotonic() - stopped
        assert pause_s < RETENTION_S
        record(f"it returns {pause_s:.1f} s after it was stopped")
        await turns_until_refused(zone_a, 0.3)
        allowed = BUDGET + TURN_TOKENS
        record(f"{handed} tokens were handed out; the rule allows {allowed}")
        return handed <= allowed


main(Path(__file__).parent, play)
