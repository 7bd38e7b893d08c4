"""A turn that was answered on a route with a longer retention than its chain."""

import asyncio
from pathlib import Path

from review.bed_2 import Bed, config, main, route

# Retention of the route at first, and of the route that a new version splits off.
SHORT_S, LONG_S = 5.0, 60.0
# Conversations, and the time from a first turn to the second and from that to the third.
PROGRAMS, SECOND_S, THIRD_S = 12, 3.5, 54.0
# Other turns meanwhile: their number, inputs and the pause between them.
OTHERS, OTHER_BYTES, OTHER_GAP_S = 240, 290_000, 0.18


async def play(record, folder, trouble):
    kind = {"kind": "streaming", "service": "lm-pool", "retain": True}
    short = route("chat", "/chat/", retention_s=SHORT_S, **kind)
    long = route("chat-desk", "/chat/desk/", retention_s=LONG_S, **kind)
    routes = [short] if trouble else [short, long]
    async with Bed(folder, record, config(routes), (2, 1, 1)) as bed:
        for zone in ("bengal-a", "bengal-b", "bengal-c"):
            runner = await bed.add_runner(f"i-{zone}", "lm-pool", zone)
            runner.pause_s = 0.005
        await bed.until_ready()
        await asyncio.sleep(4.0)
        firsts = await asyncio.gather(*(turn(bed, n, "") for n in range(PROGRAMS)))
        if trouble:
            bed.store.write("op/config", config([short, long], version=9))
            record("the operator splits a route off that retains turns for longer")
        await asyncio.sleep(SECOND_S)
        seconds = await asyncio.gather(
            *(turn(bed, n, previous) for n, (_, previous) in enumerate(firsts))
        )
        whole = [n for n, (status, _) in enumerate(seconds) if status == 200]
        record(f"{len(whole)} second turns were answered whole", show=True)
        later = asyncio.get_running_loop().time() + THIRD_S
        body = b"x" * OTHER_BYTES
        others = []
        for number in range(OTHERS):
            one = turn(bed, 1000 + number, "", "/chat/t", body)
            others.append(asyncio.create_task(one))
            await asyncio.sleep(OTHER_GAP_S)
        answered = [status for status, _ in await asyncio.gather(*others)]
        record(f"other turns: {answered.count(200)} of {OTHERS} answered", show=True)
        await asyncio.sleep(later - asyncio.get_running_loop().time())
        thirds = await asyncio.gather(*(turn(bed, n, seconds[n][1]) for n in whole))
    statuses = [status for status, _ in thirds]
    record(f"third turns, {THIRD_S} s later: {sorted(set(statuses))}", show=True)
    record(f"{statuses.count(404)} of {len(whole)} denied with 404", show=True)
    if not whole:
        raise RuntimeError("no turn was answered")
    return 404 not in statuses


async def turn(bed, number, previous, path="/chat/desk/t", body=b"say"):
    """Returns the final status of a turn, and the id of its requester attempt."""
    more = {
        "Magnoliaroad_Program_Id": f"program{number}",
        "Magnoliaroad_Session_Id": f"line{number}",
        "Magnoliaroad_Program_Deadline_Ms": 90_000,
        "Magnoliaroad_Token_Count": "100,300",
    }
    if previous:
        more["Magnoliaroad_Previous_Turn"] = previous
    for attempt in range(4):
        request_id = bed.new_id()
        relay = bed.relays[(number + attempt) % len(bed.relays)]
        answer = await bed.send(
            relay, "POST", path, body, 5.0, request_id, **more
        )
        if (answer.status == 200 and answer.whole) or answer.status == 404:
            break
        await asyncio.sleep(float(answer.headers.get("retry-after", 0.3)))
    return answer.status, request_id


if __name__ == "__main__":
    main(Path(__file__).parent, play)
