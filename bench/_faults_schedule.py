"""Fault injection schedule, with hosts and links chosen by a seed."""

import asyncio
import random
import time

from bench._faults_fleet import HOST_DATA_CENTRES, Fleet


class Schedule:
    """Kills and pauses hosts, cuts links and stops the store.

    Faults come one after the other, but for a host that is killed while the store is
    down.

    Attributes:
        lost_at: Times at which a host was killed or paused while the store worked,
            by ``time.monotonic``.
        faults: Names of the injected faults, in order.
    """

    def __init__(self, fleet: Fleet, seed: int) -> None:
        self.fleet = fleet
        self.lost_at: list[float] = []
        self.faults: list[str] = []
        self._random = random.Random(seed)

    async def run(self) -> None:
        """Injects all faults."""
        await asyncio.sleep(4)
        await self._kill_and_restart(6)
        await self._store_down(3)
        await asyncio.sleep(2)
        await self._pause(5)
        await asyncio.sleep(2)
        await self._cut_target(4)
        await self._cut_data_centre(5)
        await asyncio.sleep(2)
        await self._store_down(4, during=self._kill_and_restart(5, store_up=False))
        await asyncio.sleep(2)
        await self._store_down(2, lose_answers=True)

    def _choose_host(self) -> int:
        return self._random.choice(list(self.fleet.numbers))

    def _log(self, text: str) -> None:
        self.faults.append(text)

    async def _kill_and_restart(self, down_s: float, store_up: bool = True) -> None:
        host = self._choose_host()
        self._log(f"kill {host}")
        if store_up:
            self.lost_at.append(time.monotonic())
        await self.fleet.kill(host)
        await asyncio.sleep(down_s)
        await self.fleet.start_host(host)

    async def _pause(self, seconds: float) -> None:
        host = self._choose_host()
        self._log(f"pause {host}")
        self.lost_at.append(time.monotonic())
        self.fleet.pause(host)
        await asyncio.sleep(seconds)
        self.fleet.resume(host)

    async def _cut_target(self, seconds: float) -> None:
        link = self._random.choice(self.fleet.target_links)
        self._log(f"cut {link.address}")
        link.cut()
        await asyncio.sleep(seconds)
        link.heal()

    async def _cut_data_centre(self, seconds: float) -> None:
        data_centre = self._random.choice(sorted(set(HOST_DATA_CENTRES)))
        self._log(f"cut {data_centre}")
        links = self.fleet.links_of_data_centre(data_centre)
        for link in links:
            link.cut()
        await asyncio.sleep(seconds)
        for link in links:
            link.heal()

    async def _store_down(
        self, seconds: float, during=None, lose_answers: bool = False
    ) -> None:
        fault = "lose_answers" if lose_answers else "down"
        self._log(f"store {fault}")
        await self.fleet.set_store_faults(**{fault: True})
        concurrent = None if during is None else asyncio.create_task(during)
        await asyncio.sleep(seconds)
        await self.fleet.set_store_faults()
        if concurrent is not None:
            await concurrent
