"""Targets that are short of room, and what the soak adds where they are.

Each part draws from a generator of its own, so that the other faults of a seed do not
change.
"""

import asyncio
import random

from tests.soak.fleet import PLAN_PAUSE_S

SLOTS = {"app": 4, "lm": 8}
# Time until an answer begins at usual speed, in seconds.
WORK_S = 0.02
USUAL = 100
# Slowdowns in per cent. A stream of 0.72 s still ends within its limit of 2 s.
SLOWDOWNS = (100, 100, 150, 230)
# Chance that a target's slowdown changes before it states its load again.
CHANGE_CHANCE = 0.1
# Figures that no target can mean, malformed ones among them, and how often they come.
LIES = (
    "0,0,0,0",
    "0,0,8,0",
    "0,0,999999999,1",
    "999999999,999999999,1,999999999",
    "3,0,8,-250",
    "0,0,8,99999999999999999999",
    "0,0,8,1e9,7",
    "none",
)
LIE_SHARE = 0.15
# Longest time between two statements of a load, in seconds.
MAX_STATE_INTERVAL_S = 0.05
# Requests of a burst that run at the same time, and its longest duration in seconds.
BURST_CALLERS = 30
MAX_BURST_S = 1.5
# Paths of the kinds of requests that come in bursts, of the first and the last rank.
BURST_PATHS = ("/pay/x", "/pay/low")


def choose_host_settings(seed):
    """Returns settings of hosts, which turn second attempts and waiting on or off."""
    rng = random.Random(f"host settings {seed}")
    settings = {"waiting": {"enabled": rng.choice(("auto", "on", "off"))}}
    if rng.random() < 0.5:
        hedging = {"extra_share": 0.5, "max_per_s": 100.0, "percentile": 0.5}
        settings["hedging"] = hedging
    return settings


async def state_loads(callers, seed, end):
    """Gives targets little room and lets them state it, falsely at times.

    They have room again at the end, as all requests must succeed then.
    """
    rng, fleet = random.Random(f"loads {seed}"), callers.fleet
    loop = asyncio.get_running_loop()
    slowdowns = {}
    while loop.time() < end:
        for target in fleet.targets:
            slowdown = slowdowns.get(target, USUAL)
            if rng.random() < CHANGE_CHANCE:
                slowdown = slowdowns[target] = rng.choice(SLOWDOWNS)
            _slow_down(target, slowdown)
            slots = target.places = SLOTS[target.service]
            running = min(target.in_flight, slots)
            figures = (running, target.in_flight - running, slots, slowdown)
            lies = rng.random() < LIE_SHARE
            target.load = rng.choice(LIES) if lies else ",".join(map(str, figures))
        await asyncio.sleep(rng.uniform(0.0, MAX_STATE_INTERVAL_S))
    for target in fleet.targets:
        target.places = target.load = None
        target.plan_pause_s, target.work_s = PLAN_PAUSE_S, 0.0


def _slow_down(target, slowdown):
    target.plan_pause_s = PLAN_PAUSE_S * slowdown / USUAL
    target.work_s = WORK_S * slowdown / USUAL


async def run_bursts(callers, seed, end):
    """Sends many requests of one rank at a time."""
    rng, fleet = random.Random(f"bursts {seed}"), callers.fleet
    loop = asyncio.get_running_loop()

    async def send(path, burst_end):
        while loop.time() < burst_end:
            relay = rng.choice(fleet.relay_hosts)
            await callers.call_service(path, "POST", b"money", relay)
            await asyncio.sleep(rng.uniform(0.0, 0.02))

    while loop.time() < end:
        path = rng.choice(BURST_PATHS)
        burst_end = min(end, loop.time() + rng.uniform(0.3, MAX_BURST_S))
        await asyncio.gather(*(send(path, burst_end) for _ in range(BURST_CALLERS)))
        await asyncio.sleep(rng.uniform(0.3, 2.0))
