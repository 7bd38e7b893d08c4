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


class HostSpec(NamedTuple):
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
        self.specs: list[HostSpec] = []
        self._folder = folder
        self._processes: dict[str, asyncio.subprocess.Process] = {}

    async def start(self, spec: HostSpec) -> None:
        """Starts a host and waits until it answers."""
        if spec not in self.specs:
            self.specs.append(spec)
        path = self._folder / f"{spec.name}.json"
        path.write_text(json.dumps(self._settings(spec)))
        self._processes[spec.name] = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "magnoliaroad",
            "host",
            str(path),
            stderr=asyncio.subprocess.DEVNULL,
            env=os.environ | {"PYTHONPATH": "src:."},
        )
        await asyncio.wait_for(self._wait_until_up(spec), START_LIMIT_S)

    def pid(self, spec: HostSpec) -> int:
        """Returns the process id of a host."""
        return self._processes[spec.name].pid

    async def kill(self, spec: HostSpec) -> None:
        """Kills a host with SIGKILL, like a crash."""
        proc = self._processes.pop(spec.name)
        proc.send_signal(signal.SIGKILL)
        await proc.wait()

    async def kill_all(self) -> None:
        """Kills all hosts that were started."""
        for spec in self.specs:
            if spec.name in self._processes:
                await self.kill(spec)

    async def revision(self, spec: HostSpec) -> int | None:
        """Returns the revision that a host has in force.

        Returns:
            The revision; ``None`` if the host does not answer.
        """
        try:
            async with self.session.get(f"{spec.url}/ready") as resp:
                return (await resp.json())["revision"]
        except (aiohttp.ClientError, TimeoutError):
            return None

    async def set_store_faults(self, **faults: object) -> None:
        """Sets the faults of the store; those not given are switched off."""
        url = f"{self.store_url}/standin/faults"
        async with self.session.post(url, json=faults) as resp:
            resp.raise_for_status()

    async def _wait_until_up(self, spec: HostSpec) -> None:
        while await self.revision(spec) is None:
            await asyncio.sleep(0.05)

    def _seeds(self, spec: HostSpec) -> list[str]:
        others = [other for other in self.specs if other != spec]
        return [f"{other.address}:{PEER_PORT}" for other in others[:SEEDS]]

    def _settings(self, spec: HostSpec) -> dict[str, object]:
        return {
            "name": spec.name,
            "data_centre": spec.data_centre,
            "listen": {
                "address": spec.address,
                "http_port": HTTP_PORT,
                "peer_port": PEER_PORT,
            },
            "store": {"url": self.store_url},
            "peers": {"seeds": self._seeds(spec)},
            "logs": {"level": "ERROR"},
        }


def host_specs(count: int) -> list[HostSpec]:
    """Returns ``count`` hosts, spread evenly over the data centres."""
    centres = len(DATA_CENTRES)
    return [
        HostSpec(
            f"host-{n}", DATA_CENTRES[n % centres], f"127.0.{70 + n % centres}.{n + 1}"
        )
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
                for spec in host_specs(count):
                    await hosts.start(spec)
                yield hosts
            finally:
                await hosts.kill_all()
