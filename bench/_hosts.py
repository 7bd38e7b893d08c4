"""Host processes on loopback, each with its own address, and their store."""

import asyncio
import contextlib
import json
import os
import pathlib
import signal
import sys
import tempfile
from collections.abc import AsyncIterator
from typing import NamedTuple

import aiohttp

from bench._spawn import first_line, spawned

DATA_CENTRES = ("kolkata-1", "kolkata-2", "siliguri-1", "asansol-1")
HTTP_PORT = 8600
PEER_PORT = 8601
START_LIMIT_S = 30.0
SEEDS = 2


class Place(NamedTuple):
    """Name, data centre and IP address of a host."""

    name: str
    data_centre: str
    address: str

    @property
    def url(self) -> str:
        """Base URL of the host."""
        return f"http://{self.address}:{HTTP_PORT}"


class Hosts:
    """Starts and kills host processes and reads their state.

    Args:
        store_url: Base URL of the store's stand-in.
        folder: Folder for the settings files of the hosts.
        session: HTTP client.
    """

    def __init__(
        self, store_url: str, folder: pathlib.Path, session: aiohttp.ClientSession
    ) -> None:
        self.store_url = store_url
        self.session = session
        self.places: list[Place] = []
        self._folder = folder
        self._processes: dict[str, asyncio.subprocess.Process] = {}

    async def start(self, place: Place) -> None:
        """Starts a host and waits until it answers."""
        if place not in self.places:
            self.places.append(place)
        path = self._folder / f"{place.name}.json"
        path.write_text(json.dumps(self._settings(place)))
        self._processes[place.name] = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "magnoliaroad",
            "host",
            str(path),
            stderr=asyncio.subprocess.DEVNULL,
            env=os.environ | {"PYTHONPATH": "src:."},
        )
        await asyncio.wait_for(self._wait_served(place), START_LIMIT_S)

    def pid(self, place: Place) -> int:
        """Returns the process id of a host."""
        return self._processes[place.name].pid

    async def kill(self, place: Place) -> None:
        """Kills a host with SIGKILL, like a crash."""
        proc = self._processes.pop(place.name)
        proc.send_signal(signal.SIGKILL)
        await proc.wait()

    async def kill_all(self) -> None:
        """Kills all hosts that were started."""
        for place in self.places:
            if place.name in self._processes:
                await self.kill(place)

    async def revision(self, place: Place) -> int | None:
        """Returns the revision that a host has in force.

        Returns:
            The revision; ``None`` if the host does not answer.
        """
        try:
            async with self.session.get(f"{place.url}/ready") as resp:
                return (await resp.json())["revision"]
        except (aiohttp.ClientError, TimeoutError):
            return None

    async def set_store(self, **faults: object) -> None:
        """Sets the faults of the store; those not given are switched off."""
        url = f"{self.store_url}/standin/faults"
        async with self.session.post(url, json=faults) as resp:
            resp.raise_for_status()

    async def _wait_served(self, place: Place) -> None:
        while await self.revision(place) is None:
            await asyncio.sleep(0.05)

    def _seeds(self, place: Place) -> list[str]:
        others = [other for other in self.places if other != place]
        return [f"{other.address}:{PEER_PORT}" for other in others[:SEEDS]]

    def _settings(self, place: Place) -> dict[str, object]:
        return {
            "name": place.name,
            "data_centre": place.data_centre,
            "listen": {
                "address": place.address,
                "http_port": HTTP_PORT,
                "peer_port": PEER_PORT,
            },
            "store": {"url": self.store_url},
            "peers": {"seeds": self._seeds(place)},
            "logs": {"level": "ERROR"},
        }


def choose_places(count: int) -> list[Place]:
    """Returns ``count`` hosts, spread evenly over the data centres."""
    sites = len(DATA_CENTRES)
    return [
        Place(f"host-{n}", DATA_CENTRES[n % sites], f"127.0.{70 + n % sites}.{n + 1}")
        for n in range(count)
    ]


@contextlib.asynccontextmanager
async def hosts_running(count: int) -> AsyncIterator[Hosts]:
    """Runs a store and ``count`` hosts until the block ends, then kills them."""
    timeout = aiohttp.ClientTimeout(total=2.0)
    async with (
        spawned("-m", "magnoliaroad", "standin", "store") as store,
        aiohttp.ClientSession(timeout=timeout) as session,
    ):
        store_url = await first_line(store)
        with tempfile.TemporaryDirectory() as folder:
            hosts = Hosts(store_url, pathlib.Path(folder), session)
            try:
                for place in choose_places(count):
                    await hosts.start(place)
                yield hosts
            finally:
                await hosts.kill_all()
