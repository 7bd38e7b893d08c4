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
from tests.platform.deployment import config, free_address, route
from tests.platform.kv_standin import KvStandin
from tests.platform.target_standin import TargetStandin
from tests.soak.callers import EVENTS_PER_STREAM, POISON
from tests.soak.spans import Spans
from tests.soak.target_cuts import end_cut, write_cut

ROOT = Path(__file__).parents[2]
HOST_PROGRAM = ROOT / "platform" / "host.py"
SMALL_BUFFERS_PROGRAM = ROOT / "tests" / "soak" / "small_buffers.py"
DATA_CENTRES = ("dc-1", "dc-2")
# Maximum time from SIGTERM to the exit of a process.
EXIT_TIMEOUT_S = 8.0
# Time after SIGTERM until a relay host accepts no more connections.
NOTICE_S = 0.5
# Time that a relay host has to end its requests after SIGTERM.
DRAIN_LIMIT_S = 6.0
# Time after a disruption until a host is in contact with the others again.
REJOIN_S = 3.0
# Time for which a new target is cold, and requests a second that it takes meanwhile.
COLD_S = 3.0
COLD_PER_S = 4.0
# Pause between events of resumable streams, so that many are cut by faults.
PLAN_PAUSE_S = 0.12


def soak_config(version):
    """Returns the configuration with routes for large answers and cold targets."""
    fields = config(version)
    fields["services"][1] |= {"cold_start_s": COLD_S, "cold_per_s": COLD_PER_S}
    fields["routes"] += [
        route("large", "/safe/large/", "safe", "app", timeout_ms=5000),
        route(
            "long", "/plan/large/", "streaming", "lm", resumable=True, timeout_ms=5000
        ),
        route(
            "tale",
            "/stream/large/",
            "streaming",
            "lm",
            retain=True,
            retention_s=60.0,
            timeout_ms=5000,
        ),
        route("low", "/pay/low", "unsafe", "app", priority=2),
    ]
    return fields


def catches_sigterm(pid):
    """Returns whether a process has installed a handler for SIGTERM."""
    try:
        status = Path(f"/proc/{pid}/status").read_text()
    except FileNotFoundError:
        return False
    caught = int(status.partition("SigCgt:")[2].split()[0], 16)
    return bool(caught & 1 << (signal.SIGTERM - 1))


class HostProcess:
    """One host process and its link to the store.

    Attributes:
        disruptions: Spans in which it was killed, paused or cut off from the store.
        stops: Spans from SIGTERM to the exit.
        target_cuts: Spans in which it was cut off from all targets.
        booted: Whether it had a handler of SIGTERM.
        problems: Messages about ends that nobody asked for.
    """

    def __init__(self, fleet, name, data_centre, is_relay):
        self.fleet = fleet
        self.name = name
        self.data_centre = data_centre
        self.is_relay = is_relay
        self.caller_address = free_address() if is_relay else ""
        self.ready_address = free_address() if is_relay else ""
        self.peer_address = free_address()
        self.metrics_address = free_address()
        self.folder = fleet.tmp_path / name
        self.folder.mkdir()
        self.proc = self.link = None
        self.starts = 0
        self.paused = False
        self.disrupted_until = 0.0
        self.disruptions = Spans()
        self.stops = Spans()
        self.target_cuts = Spans()
        self.problems = []
        self.booted = self._stopping = False
        self._watch = None

    def end_disruption(self):
        """Records that a disruption of this host ends now."""
        self.disrupted_until = asyncio.get_running_loop().time() + REJOIN_S

    def in_contact(self, time_s):
        """Returns whether the host is in contact at a time of the event loop.

        It is not while it or the store is disrupted, nor ``REJOIN_S`` after that.
        """
        return time_s > max(self.disrupted_until, self.fleet.store_disrupted_until)

    async def start(self):
        host, _, port = self.fleet.kv.url.removeprefix("http://").partition(":")
        if self.starts == 0:
            self.link = Link("127.0.0.1", 0, (host, int(port)))
            await self.link.start()
        settings = self.folder / "settings.json"
        settings.write_text(json.dumps(self._settings()))
        self.booted = self._stopping = False
        self.starts += 1
        self.started_at = time.monotonic()
        self.end_disruption()
        env = {**os.environ, "MAGNOLIAROAD_NODE_FILE": str(settings)}
        with (self.folder / f"log-{self.starts}.jsonl").open("w") as log:
            self.proc = await asyncio.create_subprocess_exec(
                sys.executable, self.fleet.program, stdout=log, env=env
            )
        self._watch = asyncio.create_task(self._watch_end(self.proc))
        # Before the process has installed its handler, SIGTERM would kill it.
        while self.proc.returncode is None and not catches_sigterm(self.proc.pid):
            await asyncio.sleep(0.005)
        self.booted = True

    async def _watch_end(self, proc):
        code = await proc.wait()
        if not self._stopping:
            age_s = time.monotonic() - self.started_at
            self.problems.append(
                f"{self.name}: ended by itself with {code} at an age of {age_s:.2f} s"
            )

    async def restart_ended(self):
        """Starts the process again if it has ended by itself."""
        if self.booted and self.proc.returncode is not None and not self._stopping:
            await self.start()

    def hang_up(self):
        """Changes the settings file and sends SIGHUP."""
        settings = self._settings()
        settings["first_start"] = self.starts == 1
        path = self.folder / "settings.json"
        path.with_suffix(".new").write_text(json.dumps(settings))
        path.with_suffix(".new").replace(path)
        self.proc.send_signal(signal.SIGHUP)

    def _settings(self):
        listen = {"peers": self.peer_address, "metrics": self.metrics_address}
        if self.is_relay:
            listen.update(callers=self.caller_address, ready=self.ready_address)
        return {
            "name": self.name,
            "data_centre": self.data_centre,
            "data_centres": list(DATA_CENTRES),
            "first_start": self.starts == 0,
            "data_folder": str(self.folder / "data"),
            "listen": listen,
            "store": {"url": f"http://127.0.0.1:{self.link.port}"},
            "drain": {"notice_s": NOTICE_S, "limit_s": DRAIN_LIMIT_S},
            "logs": {"path": "-"},
            **self.fleet.host_settings,
        }

    async def kill(self):
        self._stopping = True
        self.disrupted_until = math.inf
        self.proc.send_signal(signal.SIGKILL)
        await self.proc.wait()

    async def terminate(self):
        """Sends SIGTERM and waits for the exit.

        Returns:
            What was wrong with the exit; empty if nothing was.
        """
        signalled_at = time.monotonic()
        age_s = signalled_at - self.started_at
        self.disrupted_until = math.inf
        self._stopping = True
        try:
            with self.stops.span():
                self.proc.send_signal(signal.SIGTERM)
                async with asyncio.timeout(EXIT_TIMEOUT_S):
                    code = await self.proc.wait()
        except TimeoutError:
            await self.kill()
            return (
                f"still running after {EXIT_TIMEOUT_S} s;"
                f" signalled at an age of {age_s:.2f} s"
            )
        took_s = time.monotonic() - signalled_at
        clean = code == 0 and took_s < EXIT_TIMEOUT_S
        return "" if clean else f"exited with {code} after {took_s:.1f} s"

    async def pause(self, seconds):
        self.disrupted_until = math.inf
        with self.disruptions.span():
            self.proc.send_signal(signal.SIGSTOP)
            self.paused = True
            await asyncio.sleep(seconds)
            self.proc.send_signal(signal.SIGCONT)
            self.paused = False
        self.end_disruption()

    async def cut_targets(self, how, seconds):
        """Cuts the host off from all targets; the store and hosts still reach it."""
        hosts = [host.peer_address for host in self.fleet.processes]
        ports = [int(address.rpartition(":")[2]) for address in hosts]
        with self.target_cuts.span():
            write_cut(self.folder, how, [*ports, self.link.port])
            await asyncio.sleep(seconds)
            end_cut(self.folder)

    async def is_ready(self, session):
        try:
            async with session.get(
                f"http://{self.ready_address}/-/ready",
                timeout=aiohttp.ClientTimeout(1.0),
            ) as resp:
                return resp.status == 200
        except (aiohttp.ClientError, TimeoutError):
            return False


class Fleet:
    """Relay and record hosts in two data centres, a store and targets.

    Attributes:
        program: Program that the host processes run.
        host_settings: Further settings of all hosts.
        answer_ends: Further ends of answers that faults of targets draw from.
        targets: Targets that the store lists, if they are not down.
        former_targets: Targets that have left or are about to.
        store_disruptions: Spans of faults of the store.
    """

    def __init__(
        self, tmp_path, relays=3, records=2, program=HOST_PROGRAM, host_settings=None
    ):
        self.tmp_path = tmp_path
        self.program = program
        self.host_settings = host_settings or {}
        self.answer_ends = ()
        self.kv = KvStandin()
        self.config_version = 3
        self.targets = []
        self.former_targets = []
        self.host_counts = relays, records
        self.store_disrupted_until = 0.0
        self.store_disruptions = Spans()
        self.relay_hosts = []
        self.record_hosts = []
        self.session = None

    @property
    def processes(self):
        return [*self.relay_hosts, *self.record_hosts]

    async def __aenter__(self):
        try:
            await self._start()
        except BaseException:
            await self._end()
            raise
        return self

    async def __aexit__(self, *exc_info):
        await self._end()

    async def _start(self):
        await self.kv.start()
        self.kv.write("op/config", soak_config(self.config_version))
        for number in range(3):
            await self.add_target(TargetStandin(f"i-app{number}", "app"))
        for number, version in enumerate(("v1", "v2", "v1", "v2")):
            await self.add_target(
                TargetStandin(f"i-lm{number}", "lm", EVENTS_PER_STREAM, version)
            )
        relays, records = self.host_counts
        for kind, count in (("relay", relays), ("records", records)):
            for number in range(count):
                data_centre = DATA_CENTRES[number % len(DATA_CENTRES)]
                process = HostProcess(
                    self, f"{kind}-{number}", data_centre, kind == "relay"
                )
                (self.relay_hosts if kind == "relay" else self.record_hosts).append(
                    process
                )
                await process.start()
        self.session = aiohttp.ClientSession(auto_decompress=False)
        await self.until_ready()

    async def _end(self):
        if self.session is not None:
            await self.session.close()
        for process in self.processes:
            if process.proc is not None and process.proc.returncode is None:
                await process.kill()
            if process.link is not None:
                process.link.close()
        for target in [*self.targets, *self.former_targets]:
            await target.stop()
        await self.kv.stop()

    async def add_target(self, target):
        """Starts a target and registers it."""
        target.plan_pause_s = PLAN_PAUSE_S
        target.poison = POISON
        target.on_start = functools.partial(self.register, target)
        await target.start()
        self.targets.append(target)
        self.register(target)

    def register(self, target, **changes):
        """Writes the entry of a target to the store, unless the target has left."""
        if target in self.targets:
            self.kv.write(f"servers/{target.name}", target.entry(**changes))

    def can_resume(self, version, began_at):
        """Returns whether a stream may be resumed at all.

        A target of its version serves, and a record host that relay hosts could know
        when the stream began has not been restarted since.
        """
        return any(
            target.service == "lm" and target.version == version and target.serving
            for target in self.targets
        ) and any(
            host.proc.returncode is None
            and not host.paused
            and host.started_at + REJOIN_S < began_at
            for host in self.record_hosts
        )

    def unregister(self, target):
        """Removes the entry of a target from the store."""
        self.kv.delete(f"servers/{target.name}")

    async def until(self, condition, limit_s=5.0):
        async with asyncio.timeout(limit_s):
            while not condition():
                await asyncio.sleep(0.01)

    async def until_ready(self, limit_s=20.0):
        """Waits until all relay hosts are ready.

        Raises:
            RuntimeError: A host has ended by itself.
        """
        async with asyncio.timeout(limit_s):
            for relay in self.relay_hosts:
                while not await relay.is_ready(self.session):
                    if relay.problems and relay.proc.returncode is not None:
                        raise RuntimeError("; ".join(relay.problems))
                    await asyncio.sleep(0.05)
