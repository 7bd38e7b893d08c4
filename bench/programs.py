"""Measures how long programs stall when their owner fails, and their memory.

``python -m bench programs`` runs five hosts in two data centres. In each case it
injects a fault into one host while programs of its data centre continue, and
measures the time from the fault to the answer of each program's next turn.
"""

import asyncio
import json
import pathlib
import signal
import tempfile
import time
from typing import Any

import aiohttp

from bench._hosts import Hosts, HostSpec
from bench._program_memory import memory_figures
from bench._spawn import first_line, spawned
from magnoliaroad.config.publish import publish
from magnoliaroad.standins.deployment import DEMO_KEY, demo_config
from magnoliaroad.store.client import HttpStore
from magnoliaroad.store.settings import StoreSettings

OWNER_CENTRE = "kolkata-1"
OTHER_CENTRE = "siliguri-1"
HOSTS = [HostSpec(f"host-{n}", OWNER_CENTRE, f"127.0.91.{n}") for n in (1, 2, 3)]
HOSTS += [HostSpec(f"host-{n}", OTHER_CENTRE, f"127.0.92.{n}") for n in (4, 5)]
PROGRAMS = 24
SETTLE_S = 12.0
GIVE_UP_S = 60.0
STORE_DOWN_S = 6.0
HEADERS = {"Authorization": f"Bearer {DEMO_KEY}"}


class Programs:
    """Programs owned in one data centre, called through given hosts."""

    def __init__(self, session: aiohttp.ClientSession) -> None:
        self.session = session
        self.ids: list[str] = []
        self._turn = 0

    async def start(self, url: str) -> None:
        """Creates the programs at the host with base URL ``url``."""
        for _ in range(PROGRAMS):
            async with self.session.post(f"{url}/v1/programs", headers=HEADERS) as resp:
                self.ids.append((await resp.json())["program"])

    async def run_turns(self, urls: list[str]) -> list[float]:
        """Runs one turn of each program concurrently.

        Returns:
            Time of each answer by ``time.monotonic``; infinite without an answer.
        """
        self._turn += 1
        return await asyncio.gather(
            *(
                self._run_turn(program, urls[number % len(urls)])
                for number, program in enumerate(self.ids)
            )
        )

    async def _run_turn(self, program: str, url: str) -> float:
        headers = HEADERS | {
            "X-Program-Id": program,
            "X-Program-Turn": str(self._turn),
            "X-Program-Append": "new",
        }
        body = {
            "model": "planner",
            "max_tokens": 8,
            "messages": [{"role": "user", "content": f"turn {self._turn}"}],
        }
        deadline = time.monotonic() + GIVE_UP_S
        while time.monotonic() < deadline:
            if await self._post(url, body, headers):
                return time.monotonic()
            await asyncio.sleep(0.1)
        return float("inf")

    async def _post(self, url: str, body: Any, headers: dict[str, str]) -> bool:
        endpoint = f"{url}/v1/chat/completions"
        try:
            async with self.session.post(endpoint, json=body, headers=headers) as resp:
                await resp.read()
                return resp.status == 200
        except (aiohttp.ClientError, TimeoutError):
            return False


class FaultCases:
    """Injects several kinds of faults into the first host."""

    def __init__(self, hosts: Hosts, programs: Programs) -> None:
        self.hosts = hosts
        self.programs = programs
        self._other_urls = [spec.url for spec in HOSTS[1:]]

    async def run(self) -> dict[str, Any]:
        """Runs all cases and returns their results by name."""
        return {
            "steady": await self._run_case(self._no_fault),
            "killed": await self._run_case(self._kill),
            "paused": await self._run_case(self._pause),
            "terminated": await self._run_case(self._terminate),
            "killed_store_down": await self._run_case(self._kill_store_down),
        }

    async def _run_case(self, inject: Any) -> dict[str, float]:
        before = await self._store_calls()
        started = time.monotonic()
        counted_from = await inject()
        answered = await self.programs.run_turns(self._other_urls)
        stalls = sorted(at - (counted_from or started) for at in answered)
        await asyncio.sleep(SETTLE_S)
        after = await self._store_calls()
        await self._restore_host()
        return {
            "stall_s_median": round(stalls[len(stalls) // 2], 3),
            "stall_s_most": round(stalls[-1], 3),
            "store_writes": after.get("put", 0) - before.get("put", 0),
            "span_s": round(time.monotonic() - started, 1),
        }

    async def _restore_host(self) -> None:
        proc = self.hosts._processes.get(HOSTS[0].name)
        if proc is not None and proc.returncode is None:
            proc.send_signal(signal.SIGCONT)
        else:
            self.hosts._processes.pop(HOSTS[0].name, None)
            await self.hosts.start(HOSTS[0])
        await asyncio.sleep(SETTLE_S)

    async def _no_fault(self) -> None:
        return

    async def _kill(self) -> None:
        await self.hosts.kill(HOSTS[0])

    async def _pause(self) -> None:
        self.hosts._processes[HOSTS[0].name].send_signal(signal.SIGSTOP)

    async def _terminate(self) -> None:
        self.hosts._processes[HOSTS[0].name].send_signal(signal.SIGTERM)

    async def _kill_store_down(self) -> float:
        """Kills the host while the store is down.

        Returns:
            Time at which the store works again. Stalls are counted from then.
        """
        await self.hosts.set_store_faults(down=True)
        await self.hosts.kill(HOSTS[0])
        await asyncio.sleep(STORE_DOWN_S)
        await self.hosts.set_store_faults()
        return time.monotonic()

    async def _store_calls(self) -> dict[str, int]:
        url = f"{self.hosts.store_url}/standin/calls"
        async with self.hosts.session.get(url) as resp:
            return await resp.json()


async def measure(folder: pathlib.Path) -> dict[str, Any]:
    """Runs the benchmark once and returns the results of all cases."""
    timeout = aiohttp.ClientTimeout(total=GIVE_UP_S)
    async with (
        spawned("-m", "magnoliaroad", "standin", "store") as store,
        spawned("-m", "magnoliaroad", "standin", "engine") as engine,
        aiohttp.ClientSession(timeout=timeout) as session,
    ):
        store_url = await first_line(store)
        await _configure(store_url, await first_line(engine))
        hosts = Hosts(store_url, folder, session)
        try:
            for spec in HOSTS:
                await hosts.start(spec)
            await asyncio.sleep(SETTLE_S)
            programs = Programs(session)
            await programs.start(HOSTS[0].url)
            return await FaultCases(hosts, programs).run()
        finally:
            await hosts.kill_all()


async def _configure(store_url: str, engine_url: str) -> None:
    store = HttpStore(StoreSettings(store_url))
    try:
        config = demo_config(engine_url, engine_url)
        await publish(store, lambda base: config)
    finally:
        await store.close()


def main(args: list[str]) -> int:
    """Prints the results as one JSON object."""
    with tempfile.TemporaryDirectory() as folder:
        takeovers = asyncio.run(measure(pathlib.Path(folder)))
    figures = {"takeovers": takeovers, "memory": memory_figures()}
    print(json.dumps(figures))
    return 0
