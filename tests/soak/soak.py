"""Soak test with fault injection: ``python -m tests.soak.soak SEED... [--seconds N]``.

Clock skew is not injected, since all processes use the clock of one machine. The only
decision that compares times of day between hosts is tested in
``tests/relay/test_turns.py``.
"""

import argparse
import asyncio
import math
import random
import sys
import tempfile
from pathlib import Path

from tests.platform.deployment import KEY, config
from tests.soak.callers import POISON, Callers
from tests.soak.fleet import CONTACT_S, Fleet

CALLERS = 12
# Time after the last fault until all requests must succeed again.
RECOVERY_S = 8.0
# Time between attempts of the crashing request.
AGAIN_S = 0.2
# Maximum number of times that hosts in contact may forward the crashing request after
# it has crashed three targets and is known. It is the platform's limit.
MOST_SENT_AFTER = 3


async def soak(seed: int, seconds: float, folder: Path) -> list[str]:
    """Runs the soak test with ``seed``; returns the violated guarantees."""
    chance = random.Random(seed)
    async with Fleet(folder) as fleet:
        callers = Callers(fleet, chance)
        loop = asyncio.get_running_loop()
        ends = loop.time() + seconds
        faults = asyncio.create_task(_disturb(fleet, chance, ends, callers.broken))
        await asyncio.gather(*(callers.work(ends + 1.0) for _ in range(CALLERS)))
        await faults
        await _recover(fleet, callers)
        return callers.broken + _check_targets(fleet, callers) + _check_poison(callers)


async def _disturb(fleet, chance, ends, broken):
    loop = asyncio.get_running_loop()
    running = set()
    acts = (_kill, _terminate, _pause, _cut_store, _store, _target, _configure, _drain)
    while loop.time() < ends:
        act = chance.choice(acts)
        task = asyncio.create_task(act(fleet, chance, broken))
        running.add(task)
        task.add_done_callback(running.discard)
        await asyncio.sleep(chance.uniform(0.2, 1.2))
    await asyncio.gather(*running)


def _pick(fleet, chance):
    sound = [m for m in fleet.members if m.proc.returncode is None and not m.paused]
    return chance.choice(sound) if len(sound) > 2 else None


async def _kill(fleet, chance, broken):
    member = _pick(fleet, chance)
    if member is not None:
        await member.kill()
        await asyncio.sleep(chance.uniform(0.0, 1.0))
        await member.start()


async def _terminate(fleet, chance, broken):
    member = _pick(fleet, chance)
    if member is None:
        return
    member.paused = True
    wrong = await member.terminate()
    member.paused = False
    if wrong:
        broken.append(f"{member.name}: after SIGTERM: {wrong}")
    await member.start()


async def _pause(fleet, chance, broken):
    member = _pick(fleet, chance)
    if member is not None:
        await member.pause(chance.uniform(0.3, 3.0))


async def _cut_store(fleet, chance, broken):
    member = chance.choice(fleet.members)
    member.link.cut()
    member.disturbed_until = math.inf
    await asyncio.sleep(chance.uniform(0.3, 3.0))
    member.link.heal()
    member.disturbed()


async def _store(fleet, chance, broken):
    fleet.kv.fault = chance.choice(("busy", "many", "reset", "lost"))
    fleet.store_disturbed_until = math.inf
    await asyncio.sleep(chance.uniform(0.2, 2.0))
    fleet.kv.fault = None
    loop = asyncio.get_running_loop()
    fleet.store_disturbed_until = loop.time() + CONTACT_S


async def _target(fleet, chance, broken):
    target = chance.choice(fleet.targets)
    acts = ("full", "moved", "reset", "cut", "extra", "wrong_id", "error", "silent")
    target.script = [chance.choice(acts) for _ in range(3)] + ["ok"]


async def _configure(fleet, chance, broken):
    fleet.version += chance.randrange(1, 4)
    fleet.kv.write("op/config", config(fleet.version))


async def _drain(fleet, chance, broken):
    target = chance.choice(fleet.targets)
    key = f"servers/{target.name}"
    fleet.kv.write(key, target.entry(state="draining"))
    await asyncio.sleep(chance.uniform(0.2, 2.0))
    fleet.kv.write(key, target.entry(call_seq=2))


async def _recover(fleet, callers):
    for target in fleet.targets:
        target.script = ["ok"]
    await fleet.until_ready()
    loop = asyncio.get_running_loop()
    recovered = loop.time() + RECOVERY_S
    while loop.time() < recovered:
        await callers.plain("/pay/x", "POST", POISON)
        await asyncio.sleep(AGAIN_S)
    before = callers.answered
    for _ in range(20):
        await callers.plain("/pay/x", "POST", b"money")
    if callers.answered - before < 20:
        served = callers.answered - before
        callers.broken.append(
            f"only {served} of 20 requests succeeded after the faults"
        )


def _check_targets(fleet, callers):
    broken, ran = [], {}
    for target in fleet.targets:
        for _, path, headers, body in target.runs:
            request_id = headers["magnoliaroad-request-id"]
            if path.startswith(("/pay/", "/stream/")) and request_id in ran:
                broken.append(f"{request_id}: ran twice")
            ran[request_id] = target.name
            if KEY in "".join(headers.values()):
                broken.append(
                    f"{request_id}: the caller's key was sent to {target.name}"
                )
            if path.startswith("/stream/"):
                expected = callers.chains[request_id] + f"{request_id};".encode()
                if body != expected:
                    broken.append(
                        f"{request_id}: history is {body!r}, expected {expected!r}"
                    )
    broken += [
        f"{r}: ran, but was reported as not run" for r in callers.promised & ran.keys()
    ]
    for program, tokens in callers.tokens.items():
        if tokens > callers.budgets[program]:
            broken.append(
                f"{program}: used {tokens} of {callers.budgets[program]} tokens"
            )
    return broken


def _check_poison(callers):
    """Returns a message if the crashing request was forwarded too often."""
    times = sorted(at for target in callers.fleet.targets for at in target.crashed_at)
    if len(times) < 3:
        return []
    known_by = times[2] + CONTACT_S
    ran = {
        headers["magnoliaroad-request-id"]
        for target in callers.fleet.targets
        for _, _, headers, _ in target.runs
    }
    late = [r for r, sent_at in callers.poison.items() if sent_at > known_by]
    late = [request_id for request_id in late if request_id in ran]
    if len(late) <= MOST_SENT_AFTER:
        return []
    return [
        f"crashing request sent {len(late)} times after detection; {len(times)} crashes"
    ]


def main() -> int:
    """Runs all seeds and prints the violations; returns the number of failed seeds."""
    parser = argparse.ArgumentParser()
    parser.add_argument("seeds", nargs="+", type=int)
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument(
        "--logs", default=None, help="folder for the logs of the processes"
    )
    args = parser.parse_args()
    failed = 0
    for seed in args.seeds:
        folder = Path(args.logs or tempfile.mkdtemp(prefix="soak-")) / str(seed)
        folder.mkdir(parents=True)
        broken = asyncio.run(soak(seed, args.seconds, folder))
        failed += bool(broken)
        print(f"seed {seed}: {broken or 'passed'} (logs in {folder.name})", flush=True)
    return failed


if __name__ == "__main__":
    sys.exit(main())
