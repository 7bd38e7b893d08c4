"""Processes are killed at once while a runner's entry is removed.

With trouble, five of the seven relays are killed at the same moment, among them those
that watch the store for their zones, and are back within a second. A runner that does
not announce its end leaves 0.2 s after the kill: its entry is removed, and it goes on
serving. Only requests that came through the two undisturbed relays are judged.
"""

import asyncio
import os
import time
from pathlib import Path

from review.harness import Runner, System, config, main

DRAIN_S = 2.0
# The runner exits drain_ms and a little longer after its entry was removed.
LINGER_S = 2.3
WORK_S = 0.15
BACK_S = float(os.environ.get("BACK_S", "0.6"))
LEAVES_AFTER_S = float(os.environ.get("LEAVES_AFTER_S", "0.2"))


async def play(record, folder, trouble):
    async with System(folder, record, config(), relays=(3, 2, 2)) as system:
        for zone in "abc":
            for number in (1, 2):
                runner = Runner(f"i-app-{zone}{number}", "league-app", f"zone-{zone}")
                runner.work_s = WORK_S
                await system.add_runner(runner)
            await system.add_runner(Runner(f"i-lm-{zone}", "lm-pool", f"zone-{zone}"))
        await system.until_ready()
        await asyncio.sleep(6.0)
        relays = system.relays
        kept = [relays[2], relays[4]]
        killed = [relay for relay in relays if relay not in kept]
        sent, answers = {}, {}
        leaving = next(r for r in system.runners if r.name == "i-app-a1")

        async def pay(relay):
            request_id = system.new_id()
            sent[request_id] = (relay, time.monotonic())
            answers[request_id] = await system.request(
                relay, "POST", "/pay/x", b"pay", limit_s=2.0, request_id=request_id
            )

        async def load(until):
            tasks = []
            while time.monotonic() < until:
                for relay in kept:
                    tasks.append(asyncio.create_task(pay(relay)))
                await asyncio.sleep(0.04)
            await asyncio.gather(*tasks)

        paying = asyncio.create_task(load(time.monotonic() + 9.0))
        await asyncio.sleep(1.0)
        if trouble:
            await asyncio.gather(*(relay.kill() for relay in killed))
            record(f"{len(killed)} relays are killed at once")
        began = time.monotonic()
        await asyncio.sleep(LEAVES_AFTER_S)
        system.store.delete(f"servers/{leaving.name}")
        gone_at = time.monotonic()
        record(f"the entry of {leaving.name} is removed")
        await asyncio.sleep(max(0.0, began + BACK_S - time.monotonic()))
        if trouble:
            for relay in killed:
                await relay.start()
            record(f"they start again, {time.monotonic() - began:.2f} s after the kill")
        await asyncio.sleep(max(0.0, gone_at + LINGER_S - time.monotonic()))
        await leaving.crash()
        record(f"{leaving.name} exits")
        await paying
        late = [
            (at - gone_at, request_id)
            for at, request_id, *_ in leaving.runs
            if at - gone_at > DRAIN_S
        ]
        for after_s, request_id in late:
            record(
                f"{request_id} through {sent[request_id][0].name} reached"
                f" {leaving.name} {after_s:.2f} s after its entry was removed"
            )
        ran = {request_id for _, request_id, *_ in leaving.runs}
        lost = [i for i, (status, *_) in answers.items() if status != 200 and i in ran]
        for request_id in lost:
            record(f"{request_id} began to run at {leaving.name}, and was cut by its end")
        record(f"{len(answers)} payments, {len(lost)} cut while they ran")
        record(f"{len(late)} requests later than {DRAIN_S} s")
        return not late


main(Path(__file__).parent, play)
