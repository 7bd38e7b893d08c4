"""Hosts as real processes, with stand-ins for the store and the targets."""

import asyncio
import functools
import json
import math
import os
import signal
import sys
import time
from pathlib import Path

import aiohttp

from magnoliaroad.standins.link import Link
from tests.platform.deployment import config, free_address
from tests.platform.kv_standin import KvStandin
from tests.platform.target_standin import TargetStandin
from tests.soak.callers import POISON

ROOT = Path(__file__).parents[2]
DATA_CENTRES = ("dc-1", "dc-2")
# Maximum time from SIGTERM to the exit of a process.
GRACE_S = 8.0
# Time after a disruption until a host is in contact with the others again.
CONTACT_S = 3.0


def catches_sigterm(pid):
    """Returns whether a process has installed a handler for SIGTERM."""
    try:
        status = Path(f"/proc/{pid}/status").read_text()
    except FileNotFoundError:
        return False
    caught = int(status.partition("SigCgt:")[2].split()[0], 16)
    return bool(caught & 1 << (signal.SIGTERM - 1))


class Member:
    """One host process and its link to the store."""

    def __init__(self, fleet, name, data_centre, relays):
        self.fleet = fleet
        self.name = name
        self.data_centre = data_centre
        self.relays = relays
        self.callers = free_address() if relays else ""
        self.ready = free_address() if relays else ""
        self.peers = free_address()
        self.metrics = free_address()
        self.folder = fleet.tmp_path / name
        self.folder.mkdir()
        self.proc = None
        self.starts = 0
        self.paused = False
        self.disturbed_until = 0.0

    def disturbed(self):
        """Records that a disruption of this host ends now."""
        self.disturbed_until = asyncio.get_running_loop().time() + CONTACT_S

    def in_contact(self, at):
        """Returns whether the host is in contact at a time of the event loop.

        It is not while it or the store is disrupted, nor ``CONTACT_S`` after that.
        """
        return at > max(self.disturbed_until, self.fleet.store_disturbed_until)

    async def start(self):
        host, _, port = self.fleet.kv.url.removeprefix("http://").partition(":")
        if self.starts == 0:
            self.link = Link("127.0.0.1", 0, (host, int(port)))
            await self.link.start()
        settings = self.folder / "settings.json"
        settings.write_text(json.dumps(self._settings()))
        self.starts += 1
        self.started_at = time.monotonic()
        self.disturbed()
        env = {**os.environ, "MAGNOLIAROAD_NODE_FILE": str(settings)}
        with (self.folder / f"log-{self.starts}.jsonl").open("w") as log:
            self.proc = await asyncio.create_subprocess_exec(
                sys.executable, ROOT / "platform" / "host.py", stdout=log, env=env
            )
        # Until the process has its handler, a signal would end it with a fault.
        while self.proc.returncode is None and not catches_sigterm(self.proc.pid):
            await asyncio.sleep(0.005)

    def _settings(self):
        listen = {"peers": self.peers, "metrics": self.metrics}
        if self.relays:
            listen.update(callers=self.callers, ready=self.ready)
        return {
            "name": self.name,
            "data_centre": self.data_centre,
            "data_folder": str(self.folder / "data"),
            "listen": listen,
            "store": {"url": f"http://127.0.0.1:{self.link.port}"},
            "drain": {"notice_s": 0.5, "limit_s": 6.0},
            "logs": {"path": "-"},
        }

    async def kill(self):
        self.disturbed_until = math.inf
        self.proc.send_signal(signal.SIGKILL)
        await self.proc.wait()

    async def terminate(self):
        """Sends SIGTERM and waits for the exit.

        Returns:
            What was wrong with the exit; empty if nothing was.
        """
        began = time.monotonic()
        age_s = began - self.started_at
        self.disturbed_until = math.inf
        self.proc.send_signal(signal.SIGTERM)
        try:
            async with asyncio.timeout(GRACE_S):
                code = await self.proc.wait()
        except TimeoutError:
            await self.kill()
            return (
                f"still running after {GRACE_S} s; signalled at an age of {age_s:.2f} s"
            )
        took_s = time.monotonic() - began
        well = code == 0 and took_s < GRACE_S
        return "" if well else f"exited with {code} after {took_s:.1f} s"

    async def pause(self, seconds):
        self.disturbed_until = math.inf
        self.proc.send_signal(signal.SIGSTOP)
        self.paused = True
        await asyncio.sleep(seconds)
        self.proc.send_signal(signal.SIGCONT)
        self.paused = False
        self.disturbed()

    async def is_ready(self, session):
        try:
            async with session.get(
                f"http://{self.ready}/-/ready", timeout=aiohttp.ClientTimeout(1.0)
            ) as resp:
                return resp.status == 200
        except (aiohttp.ClientError, TimeoutError):
            return False


class Fleet:
    """Relay and record hosts in two data centres, a store and targets."""

    def __init__(self, tmp_path, relays=3, records=2):
        self.tmp_path = tmp_path
        self.kv = KvStandin()
        self.version = 3
        self.targets = [TargetStandin(f"i-app{n}", "app") for n in range(3)]
        self.targets += [TargetStandin(f"i-lm{n}", "lm", events=6) for n in range(3)]
        self.counts = relays, records
        self.store_disturbed_until = 0.0
        self.relays = []
        self.records = []

    @property
    def members(self):
        return [*self.relays, *self.records]

    async def __aenter__(self):
        await self.kv.start()
        self.kv.write("op/config", config(self.version))
        for target in self.targets:
            await target.start()
            self.register(target)
            target.poison = POISON
            target.on_start = functools.partial(self.register, target)
        relays, records = self.counts
        for kind, count in (("relay", relays), ("records", records)):
            for number in range(count):
                place = DATA_CENTRES[number % len(DATA_CENTRES)]
                member = Member(self, f"{kind}-{number}", place, kind == "relay")
                (self.relays if kind == "relay" else self.records).append(member)
                await member.start()
        self.session = aiohttp.ClientSession(auto_decompress=False)
        await self.until_ready()
        return self

    async def __aexit__(self, *exc_info):
        await self.session.close()
        for member in self.members:
            if member.proc.returncode is None:
                await member.kill()
            member.link.close()
        for target in self.targets:
            await target.stop()
        await self.kv.stop()

    def register(self, target):
        """Writes the entry of a target to the store."""
        self.kv.write(f"servers/{target.name}", target.entry())

    async def until_ready(self, limit_s=20.0):
        async with asyncio.timeout(limit_s):
            for relay in self.relays:
                while not await relay.is_ready(self.session):
                    await asyncio.sleep(0.05)
