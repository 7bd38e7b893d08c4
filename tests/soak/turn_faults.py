"""Counts turns without an end under faults: ``python -m tests.soak.turn_faults``.

Each scenario injects one fault or a series while callers stream turns. A turn of which
all events arrived, but not the end, was not kept in time.
"""

import argparse
import asyncio
import itertools
import random
import tempfile
import time
from pathlib import Path
from typing import NamedTuple

import aiohttp

from tests.platform.deployment import KEY, config
from tests.soak.callers import EVENTS_PER_STREAM, whole_events
from tests.soak.fleet import REJOIN_S, Fleet

CALLER_COUNT = 16
# Limit of the route and of each caller, in seconds; longer than any save.
ROUTE_LIMIT_S = 8.0
# Time that a scenario goes on after its last fault, in seconds.
TAIL_S = 1.0


class TurnEnd(NamedTuple):
    """How a turn ended for its caller.

    Attributes:
        events: Number of whole events that arrived.
        whole: Whether the end of the stream arrived.
        save_s: Time from the last event to the end or the close, in seconds.
        relay: Name of the relay host.
    """

    events: int
    whole: bool
    save_s: float
    relay: str


class TurnCallers:
    """Streams turns, each caller a chain, and records how they end."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.ends = []
        self.statuses = {}
        self.limit_s = ROUTE_LIMIT_S
        self._numbers = itertools.count(1)

    async def run(self, stop):
        previous = ""
        while not stop.is_set():
            request_id = f"t-{next(self._numbers)}"
            whole = await self._turn(request_id, previous)
            previous = request_id if whole else ""
            await asyncio.sleep(random.random() * 0.05)

    async def _turn(self, request_id, previous):
        relay = random.choice(self.fleet.relay_hosts)
        headers = {
            "Host": "arcade.example",
            "Authorization": f"Bearer {KEY}",
            "Magnoliaroad-Request-Id": request_id,
            "Magnoliaroad-Deadline-Ms": str(int(1000 * self.limit_s)),
        }
        if previous:
            headers["Magnoliaroad-Previous-Turn"] = previous
        received, whole, status, last_at = bytearray(), False, None, 0.0
        try:
            async with self.fleet.session.post(
                f"http://{relay.caller_address}/stream/t",
                data=b"input",
                headers=headers,
                timeout=aiohttp.ClientTimeout(20.0),
            ) as resp:
                status = resp.status
                async for chunk in resp.content.iter_any():
                    received += chunk
                    last_at = time.monotonic()
                whole = status == 200
        except (aiohttp.ClientError, TimeoutError):
            pass
        self.statuses[status] = self.statuses.get(status, 0) + 1
        if status == 200:
            events = len(whole_events(received))
            save_s = time.monotonic() - last_at
            self.ends.append(TurnEnd(events, whole, save_s, relay.name))
        return whole


async def no_fault(fleet):
    await asyncio.sleep(1.0)


async def terminate_one(fleet):
    host = fleet.record_hosts[0]
    await host.terminate()
    await host.start()


async def terminate_in_turn(fleet):
    for host in fleet.record_hosts:
        await host.terminate()
        await host.start()


async def kill_one(fleet):
    host = fleet.record_hosts[0]
    await host.kill()
    await asyncio.sleep(1.0)
    await host.start()


def pause_one(seconds):
    async def pause(fleet):
        await fleet.record_hosts[0].pause(seconds)

    return pause


def pause_relay(seconds):
    async def pause(fleet):
        await fleet.relay_hosts[0].pause(seconds)

    return pause


def store(fault, seconds, inject=no_fault):
    """Returns a scenario with a fault of the store during another one."""

    async def both(fleet):
        fleet.kv.fault = fault
        task = asyncio.create_task(inject(fleet))
        await asyncio.sleep(seconds)
        fleet.kv.fault = None
        await task

    return both


def slow_store(inject):
    """Returns a scenario in which each call on the store takes 0.24 s."""

    async def slow(fleet):
        fleet.kv.delay_s = 0.24
        await inject(fleet)
        fleet.kv.delay_s = 0.0

    return slow


async def terminate_together(fleet):
    await asyncio.gather(*(host.terminate() for host in fleet.record_hosts))
    await asyncio.sleep(1.0)
    await asyncio.gather(*(host.start() for host in fleet.record_hosts))


async def cut_relay_and_terminate_in_turn(fleet):
    link = fleet.relay_hosts[0].link
    link.cut()
    await terminate_in_turn(fleet)
    link.heal()


async def terminate_relay(fleet):
    host = fleet.relay_hosts[0]
    await host.terminate()
    await host.start()


SCENARIOS = {
    "no fault": no_fault,
    "one TERM": terminate_one,
    "one KILL": kill_one,
    "one STOP 1 s": pause_one(1.0),
    "one STOP 3 s": pause_one(3.0),
    "TERM in turn": terminate_in_turn,
    "TERM together": terminate_together,
    "store silent": store("silent", 3.0),
    "store silent, one STOP 3 s": store("silent", 3.0, pause_one(3.0)),
    "store silent, one KILL": store("silent", 3.0, kill_one),
    "store silent, one TERM": store("silent", 3.0, terminate_one),
    "store slow, TERM in turn": slow_store(terminate_in_turn),
    "store slow, TERM together": slow_store(terminate_together),
    "store cut at a relay, TERM in turn": cut_relay_and_terminate_in_turn,
    "relay TERM": terminate_relay,
    "relay STOP 1 s": pause_relay(1.0),
    "relay STOP 3 s": pause_relay(3.0),
}


async def measure(fleet, inject, limit_s):
    """Runs one scenario; returns the turns' ends and the statuses."""
    callers = TurnCallers(fleet)
    callers.limit_s = limit_s
    stop = asyncio.Event()
    tasks = [asyncio.create_task(callers.run(stop)) for _ in range(CALLER_COUNT)]
    await asyncio.sleep(0.5)
    await inject(fleet)
    await asyncio.sleep(TAIL_S)
    stop.set()
    await asyncio.gather(*tasks)
    await fleet.until_ready()
    await asyncio.sleep(REJOIN_S)
    return callers


async def run(names, limit_s, folder):
    async with Fleet(folder) as fleet:
        doc = config(fleet.config_version + 1)
        for entry in doc["routes"]:
            entry["timeout_ms"] = int(1000 * limit_s)
        fleet.kv.write("op/config", doc)
        await asyncio.sleep(REJOIN_S)
        for name in names:
            callers = await measure(fleet, SCENARIOS[name], limit_s)
            ends = callers.ends
            cut = [end for end in ends if not end.whole]
            full = [end for end in cut if end.events == EVENTS_PER_STREAM]
            other = {k: v for k, v in callers.statuses.items() if k != 200}
            saves = sorted(end.save_s for end in ends if end.whole)
            print(
                f"{name:36} turns {len(ends):5}  no end {len(full):4}"
                f"  broken off {len(cut) - len(full):3}"
                f"  longest save {max(saves, default=0.0):.2f} s"
                f"  cut after {max((e.save_s for e in full), default=0.0):.2f} s"
                f"  other {other}",
                flush=True,
            )


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--only", default="", help="part of the scenarios' names")
    parser.add_argument("--limit", type=float, default=ROUTE_LIMIT_S)
    args = parser.parse_args()
    names = [name for name in SCENARIOS if args.only in name]
    folder = Path(tempfile.mkdtemp(prefix="turn-faults-"))
    print(f"logs in {folder}", flush=True)
    asyncio.run(run(names, args.limit, folder))


if __name__ == "__main__":
    main()
