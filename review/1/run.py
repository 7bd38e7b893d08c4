"""One turn whose input is larger than a value of the store; then disks are lost in turn.

The input is within ``max_body_bytes``. With trouble, each record host loses its disk
once, one after the other, with at least ``catch_up_s`` between its return and the next
loss. Then every turn that was answered whole is continued.
"""

import asyncio
import os
import time
from pathlib import Path

from review.harness import Runner, System, config, main

LARGE_BYTES = 1_200_000
MAX_BODY_BYTES = 4_194_304
RETENTION_S = 60.0
# Time from the return of a record host to the next loss; catch_up_s is 4.9.
BETWEEN_S = 7.0
DOWN_S = 1.0
SMALL_TURNS = 30


async def play(record, folder, trouble):
    large = os.environ.get("LARGE", "1") != "0"
    async with System(folder, record, config(), relays=(3, 2, 2)) as system:
        for zone in "abc":
            await system.add_runner(Runner(f"i-lm-{zone}", "lm-pool", f"zone-{zone}"))
        await system.until_ready()
        await asyncio.sleep(4.0)
        answered = []

        async def first_turn(relay, text, program):
            status, request_id, body, whole = await system.turn(relay, text, program)
            ended = time.monotonic()
            record(f"turn {request_id}, {len(text)} B: {status}, whole {whole}")
            if status == 200 and whole:
                answered.append((request_id, program, ended))

        if large:
            assert LARGE_BYTES < MAX_BODY_BYTES
            await first_turn(system.relays[0], b"x" * LARGE_BYTES, "large")
        await asyncio.sleep(0.5)
        for number in range(SMALL_TURNS):
            relay = system.relays[number % len(system.relays)]
            await first_turn(relay, b"input %d" % number, f"small-{number}")
            await asyncio.sleep(0.05)
        # The store has all records of that age by now, or never will.
        await asyncio.sleep(6.0)
        stored = [key for key in system.store.state.entries if key.startswith("turns/")]
        record(f"the store holds {len(stored)} of {len(answered)} turns")
        if trouble:
            for host in system.stores:
                await host.kill()
                await host.wipe()
                record(f"{host.name} loses its disk")
                await asyncio.sleep(DOWN_S)
                await host.start()
                record(f"{host.name} is back with an empty disk")
                await asyncio.sleep(BETWEEN_S)
        else:
            await asyncio.sleep(len(system.stores) * (DOWN_S + BETWEEN_S))
        lost = 0
        for number, (previous, program, ended) in enumerate(answered):
            # Another relay than the one that has the turn in its memory.
            relay = system.relays[(number + 3) % len(system.relays)]
            status, request_id, _, _ = await system.turn(
                relay, b"next", program, **{"Magnoliaroad-Previous-Turn": previous}
            )
            age_s = time.monotonic() - ended
            assert age_s < RETENTION_S
            record(f"{request_id} continues {previous} after {age_s:.1f} s: {status}")
            lost += status in (404, 410)
        record(
            f"{lost} of {len(answered)} turns answered whole less than"
            f" {RETENTION_S:.0f} s ago were denied"
        )
        return not lost


main(Path(__file__).parent, play)
