"""Processes of the ``faults`` benchmark and the faults injected into them."""

import asyncio
import contextlib
import json
import os
import pathlib
import signal
import socket
import sys
import time
from urllib.parse import urlsplit

import aiohttp

from magnoliaroad.config import Config, KeyGrant, Route, RouteKind, Target, Team
from magnoliaroad.config.publish import publish
from magnoliaroad.keys import digest_key
from magnoliaroad.standins.link import Link
from magnoliaroad.store.client import HttpStore
from magnoliaroad.store.settings import StoreSettings

HOST_DATA_CENTRES = ("kolkata-1", "kolkata-1", "kolkata-2", "kolkata-2", "kolkata-3")
TARGET_DATA_CENTRES = ("kolkata-1", "kolkata-2")
TEAMS = ("arcades", "flyers", "small")
BUDGET = 1_000_000
BUDGETS = {"small": 3000}
RATE = 10_000.0
TARGET_TIMEOUT_S = 3.0
ENGINE_SWEEP_S = 5.0
START_LIMIT_S = 20.0


class Fleet:
    """Five hosts in three data centres, a store, two engines and two services.

    Hosts are numbered from 1 and listen on ``127.0.0.(10 + number)``.
    """

    def __init__(self, folder: pathlib.Path) -> None:
        self.folder = folder
        self.http_port = _free_port()
        self.peer_port = _free_port()
        self.numbers = range(1, len(HOST_DATA_CENTRES) + 1)
        self.hosts: dict[int, asyncio.subprocess.Process] = {}
        self.peer_links: dict[tuple[int, int], Link] = {}
        self.store_links: dict[int, Link] = {}
        self.target_links: list[Link] = []
        self.engines: list[str] = []
        self.services: list[str] = []
        self.store = ""
        self._other_procs: list[asyncio.subprocess.Process] = []

    async def start(self) -> None:
        """Starts all processes and links; waits until the hosts are ready."""
        store = ["-m", "magnoliaroad", "standin", "store", "--address=127.0.0.2"]
        self.store = await self._start_process(store)
        for index in range(len(TARGET_DATA_CENTRES)):
            module = ["-m", "bench._faults_process"]
            engine = [*module, "engine", f"127.0.0.{4 + index}", "0"]
            service = [*module, "service", f"127.0.0.{6 + index}", "0"]
            self.engines.append(await self._start_process(engine))
            self.services.append(await self._start_process(service))
        await self._start_links()
        await self._publish()
        for number in self.numbers:
            await self.start_host(number)
        await asyncio.gather(*(self._wait_ready(number) for number in self.numbers))

    async def stop(self) -> None:
        """Kills all processes and closes all links."""
        for proc in (*self.hosts.values(), *self._other_procs):
            with contextlib.suppress(ProcessLookupError):
                proc.kill()
            await proc.wait()
        links = (*self.peer_links.values(), *self.store_links.values())
        for link in (*links, *self.target_links):
            link.close()

    def url(self, number: int) -> str:
        """Returns the base URL at which a host serves callers."""
        return f"http://127.0.0.{10 + number}:{self.http_port}"

    async def start_host(self, number: int) -> None:
        """Starts a host process; doesn't wait until it is ready."""
        cfg = self._settings(number)
        args = ["-m", "bench._faults_process", "host", str(cfg), str(number)]
        self.hosts[number] = await _spawn(args, asyncio.subprocess.DEVNULL)

    async def kill(self, number: int) -> None:
        """Kills a host process with SIGKILL."""
        self.hosts[number].kill()
        await self.hosts[number].wait()

    def pause(self, number: int) -> None:
        """Suspends a host process with SIGSTOP."""
        self.hosts[number].send_signal(signal.SIGSTOP)

    def resume(self, number: int) -> None:
        """Resumes a paused host process."""
        self.hosts[number].send_signal(signal.SIGCONT)

    def links_of_data_centre(self, data_centre: str) -> list[Link]:
        """Returns the links between a data centre and everything else."""
        inside = {n for n in self.numbers if HOST_DATA_CENTRES[n - 1] == data_centre}
        links = [
            link
            for (source, dest), link in self.peer_links.items()
            if (source in inside) != (dest in inside)
        ]
        return [*links, *(self.store_links[n] for n in inside)]

    async def set_store_faults(self, **faults: object) -> None:
        """Sets the faults of the store; those not given are switched off."""
        async with (
            aiohttp.ClientSession() as session,
            session.post(f"{self.store}/standin/faults", json=faults) as resp,
        ):
            assert resp.status == 200, resp.status

    async def _start_process(self, args: list[str]) -> str:
        proc = await _spawn(args, asyncio.subprocess.PIPE)
        self._other_procs.append(proc)
        assert proc.stdout is not None
        return (await asyncio.wait_for(proc.stdout.readline(), 30)).decode().strip()

    async def _start_links(self) -> None:
        for source in self.numbers:
            for dest in self.numbers:
                if source != dest:
                    target = (f"127.0.0.{10 + dest}", self.peer_port)
                    link = Link(f"127.1.{source}.{10 + dest}", self.peer_port, target)
                    self.peer_links[source, dest] = link
            self.store_links[source] = Link(
                f"127.2.0.{source}", 0, _host_and_port(self.store)
            )
        for index, url in enumerate((*self.engines, *self.services)):
            self.target_links.append(
                Link(f"127.3.0.{1 + index}", 0, _host_and_port(url))
            )
        links = (*self.peer_links.values(), *self.store_links.values())
        for link in (*links, *self.target_links):
            await link.start()

    async def _publish(self) -> None:
        store = HttpStore(StoreSettings(self.store))
        try:
            await publish(store, lambda base: self._config())
        finally:
            await store.close()

    def _config(self) -> Config:
        urls = [f"http://{link.address}:{link.port}" for link in self.target_links]
        teams = [
            Team(name, RATE, RATE, program_budget=BUDGETS.get(name, BUDGET))
            for name in TEAMS
        ]
        digests = {name: digest_key(f"key-{name}") for name in TEAMS}
        routes = [
            Route("planner", RouteKind.ENGINE, teams=TEAMS),
            Route("payouts", RouteKind.SERVICE, teams=TEAMS, repeatable=False),
            Route("lookups", RouteKind.SERVICE, teams=TEAMS),
        ]
        count = len(TARGET_DATA_CENTRES)
        names = [route.name for route in routes for _ in range(count)]
        targets = [
            Target(
                name=f"{route}-{index}",
                route=route,
                url=url,
                data_centre=TARGET_DATA_CENTRES[index % count],
            )
            for index, (route, url) in enumerate(
                zip(names, [*urls, *urls[count:]], strict=True)
            )
        ]
        return Config(
            revision=1,
            teams={team.name: team for team in teams},
            grants={d: KeyGrant(name, name, d) for name, d in digests.items()},
            routes={route.name: route for route in routes},
            targets={target.name: target for target in targets},
        )

    def _settings(self, number: int) -> pathlib.Path:
        link = self.store_links[number]
        cfg = {
            "name": f"host-{number}",
            "data_centre": HOST_DATA_CENTRES[number - 1],
            "listen": {
                "address": f"127.0.0.{10 + number}",
                "http_port": self.http_port,
                "peer_port": self.peer_port,
            },
            "store": {"url": f"http://{link.address}:{link.port}"},
            "targets": {
                "first_byte_timeout_s": TARGET_TIMEOUT_S,
                "silence_timeout_s": TARGET_TIMEOUT_S,
            },
            "programs": {"engine_sweep_s": ENGINE_SWEEP_S},
            "logs": {"path": str(self.folder / f"host-{number}.log")},
        }
        path = self.folder / f"host-{number}.json"
        path.write_text(json.dumps(cfg))
        return path

    async def _wait_ready(self, number: int) -> None:
        deadline = time.monotonic() + START_LIMIT_S
        async with aiohttp.ClientSession() as session:
            while time.monotonic() < deadline:
                with contextlib.suppress(aiohttp.ClientError):
                    async with session.get(f"{self.url(number)}/ready") as resp:
                        if resp.status == 200:
                            return
                await asyncio.sleep(0.1)
        raise RuntimeError(f"host {number} was not ready in time")


async def _spawn(args: list[str], stdout: int) -> asyncio.subprocess.Process:
    return await asyncio.create_subprocess_exec(
        sys.executable,
        *args,
        stdout=stdout,
        stderr=asyncio.subprocess.DEVNULL,
        env=os.environ | {"PYTHONPATH": "src:."},
    )


def _free_port() -> int:
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return sock.getsockname()[1]


def _host_and_port(url: str) -> tuple[str, int]:
    parts = urlsplit(url)
    if not parts.hostname or not parts.port:
        raise ValueError(f"URL {url!r} has no address or no port")
    return parts.hostname, parts.port
