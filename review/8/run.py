"""Turns that were answered while one store machine was back before the others."""

import asyncio
from pathlib import Path

from review.bed_2 import Bed, config, main, route

# Time for which the platform's store is down, and when the store machines' processes
# are killed within it.
STORE_DOWN_S, KILL_AT_S = 4.5, 0.3
# Times from the kill to the starts of the processes.
FIRST_BACK_S, OTHERS_BACK_S = 0.05, 0.95
# Time from the kill until the first machine loses its disk, and until it starts again.
WIPE_AT_S, WIPED_BACK_S = 3.4, 0.5
# Programs, and the pause between their beginnings.
PROGRAMS, GAP_S = 60, 0.05
# Time from the return of the store to the next turns: ``recovery_s`` of the site.
RECOVERY_S = 12.0


async def play(record, folder, trouble):
    chat = route(
        "chat", "/chat/", "streaming", "lm-pool", retain=True, retention_s=60.0
    )
    async with Bed(folder, record, config([chat]), (1, 1, 1)) as bed:
        for zone in ("bengal-a", "bengal-b", "bengal-c"):
            runner = await bed.add_runner(f"i-{zone}", "lm-pool", zone)
            runner.pause_s = 0.01
        await bed.until_ready()
        await asyncio.sleep(4.0)
        faults = asyncio.create_task(disrupt(bed)) if trouble else None
        await asyncio.sleep(KILL_AT_S + 0.5)
        turns = []
        for number in range(PROGRAMS):
            turns.append(asyncio.create_task(turn(bed, number)))
            await asyncio.sleep(GAP_S)
        answered = dict(await asyncio.gather(*turns))
        if faults is not None:
            await faults
        whole = [number for number in answered if answered[number]]
        record(f"{len(whole)} of {PROGRAMS} turns were answered whole", show=True)
        await asyncio.sleep(RECOVERY_S)
        statuses = await asyncio.gather(
            *(go_on(bed, number, answered[number]) for number in whole)
        )
    if not whole:
        raise RuntimeError("no turn was answered")
    denied = statuses.count(404)
    record(f"then answered: {sorted(set(statuses))}", show=True)
    record(f"{denied} of {len(whole)} are denied with 404", show=True)
    return not denied


async def disrupt(bed):
    loop = asyncio.get_running_loop()
    began = loop.time()

    async def until(at_s):
        await asyncio.sleep(began + at_s - loop.time())

    bed.store.fault = "busy"
    bed.record("the platform's store is down: 503")
    await until(KILL_AT_S)
    await asyncio.gather(*(host.kill() for host in bed.stores))
    first, *others = bed.stores
    await until(KILL_AT_S + FIRST_BACK_S)
    await first.start()
    await until(KILL_AT_S + OTHERS_BACK_S)
    await asyncio.gather(*(host.start() for host in others))
    await until(KILL_AT_S + WIPE_AT_S)
    await first.kill()
    first.lose_disk()
    await until(KILL_AT_S + WIPE_AT_S + WIPED_BACK_S)
    await first.start()
    await until(STORE_DOWN_S)
    bed.store.fault = None
    bed.record("the platform's store is back")


def headers(number):
    return {
        "Magnoliaroad_Program_Id": f"program{number}",
        "Magnoliaroad_Session_Id": f"session{number}",
        "Magnoliaroad_Program_Deadline_Ms": 9000,
        "Magnoliaroad_Token_Count": "100,300",
    }


async def turn(bed, number):
    """Returns the number of a program, and the id of its first turn if answered."""
    request_id = bed.new_id()
    relay = bed.relays[number % len(bed.relays)]
    answer = await bed.send(
        relay, "POST", "/chat/t", b"first", 5.0, request_id, **headers(number)
    )
    good = answer.status == 200 and answer.whole
    return number, request_id if good else ""


async def go_on(bed, number, previous):
    """Returns the final status of the turn that continues from ``previous``."""
    more = headers(number) | {"Magnoliaroad_Previous_Turn": previous}
    for attempt in range(3):
        relay = bed.relays[(number + attempt + 1) % len(bed.relays)]
        answer = await bed.send(relay, "POST", "/chat/t", b"second", **more)
        if answer.status in (200, 404):
            break
        await asyncio.sleep(float(answer.headers.get("retry-after", 0.3)))
    return answer.status


if __name__ == "__main__":
    main(Path(__file__).parent, play)
