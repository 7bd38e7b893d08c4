"""Fault injection schedule, with hosts and links chosen by a seed."""

import asyncio
import random
import time

from bench._faults_fleet import PLACES, Fleet


class Schedule:
    """Kills and pauses hosts, cuts links and stops the store.

    Faults come one after the other, but for a host that is killed while the store is
    down.

    Attributes:
        killed_at: Times at which a host was killed or paused while the store worked,
            by ``time.monotonic``.
        names: Names of the injected faults, in order.
    """

    def __init__(self, fleet: Fleet, seed: int) -> None:
        self.fleet = fleet
        self.killed_at: list[float] = []
        self.names: list[str] = []
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
        await self._cut_place(5)
        await asyncio.sleep(2)
        await self._store_down(4, also=self._kill_and_restart(5, store_well=False))
        await asyncio.sleep(2)
        await self._store_down(2, lose_answers=True)

    def _host(self) -> int:
        return self._random.choice(list(self.fleet.numbers))

    def _note(self, text: str) -> None:
        self.names.append(text)

    async def _kill_and_restart(self, away_s: float, store_well: bool = True) -> None:
        host = self._host()
        self._note(f"kill {host}")
        if store_well:
            self.killed_at.append(time.monotonic())
        await self.fleet.kill(host)
        await asyncio.sleep(away_s)
        await self.fleet.start_host(host)

    async def _pause(self, seconds: float) -> None:
        host = self._host()
        self._note(f"pause {host}")
        self.killed_at.append(time.monotonic())
        self.fleet.pause(host)
        await asyncio.sleep(seconds)
        self.fleet.wake(host)

    async def _cut_target(self, seconds: float) -> None:
        link = self._random.choice(self.fleet.target_links)
        self._note(f"cut {link.address}")
        link.cut()
        await asyncio.sleep(seconds)
        link.heal()

    async def _cut_place(self, seconds: float) -> None:
        place = self._random.choice(sorted(set(PLACES)))
        self._note(f"cut {place}")
        links = self.fleet.place_links(place)
        for link in links:
            link.cut()
        await asyncio.sleep(seconds)
        for link in links:
            link.heal()

    async def _store_down(
        self, seconds: float, also=None, lose_answers: bool = False
    ) -> None:
        fault = "lose_answers" if lose_answers else "down"
        self._note(f"store {fault}")
        await self.fleet.store_faults(**{fault: True})
        other = None if also is None else asyncio.create_task(also)
        await asyncio.sleep(seconds)
        await self.fleet.store_faults()
        if other is not None:
            await other
