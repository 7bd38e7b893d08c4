"""A small deployment on loopback addresses: the project's processes and stand-ins.

The hosts are started with the command of the deploy file and settings that follow its
template. The store is the project's stand-in; runners and requesters are below.
"""

import asyncio
import contextlib
import itertools
import json
import os
import shutil
import signal
import sys
import tempfile
import time
import traceback
from pathlib import Path

from tests.fakes.ports import free_port
from tests.platform.kv_standin import KvStandin

ROOT = Path(__file__).parents[1]
ZONES = ("bengal-a", "bengal-b", "bengal-c")
ROUTE_HOST = "ficu95.example"
KEY = "3fexd9dnn2ctnfzs989a"
SEAL = "3e1b.07.5a2.600.0.c9f2a4d1"


def free_address():
    return f"127.0.0.1:{free_port()}"


def split(address):
    host, _, port = address.rpartition(":")
    return host, int(port)


class Record:
    """Writes what happens to ``record.txt``, with the time since the start."""

    def __init__(self, folder):
        self.began = time.monotonic()
        self.file = (Path(folder) / "record.txt").open("w")

    def __call__(self, text, show=False):
        line = f"{time.monotonic() - self.began:8.3f} {text}"
        self.file.write(line + "\n")
        self.file.flush()
        if show:
            print(line, flush=True)


class Host:
    """A process of the system on a machine of its own."""

    def __init__(self, bed, name, zone, is_relay):
        self.bed, self.name, self.zone, self.is_relay = bed, name, zone, is_relay
        self.peers, self.metrics = free_address(), free_address()
        self.front = free_address() if is_relay else ""
        self.ready = free_address() if is_relay else ""
        self.folder = bed.folder / name
        self.folder.mkdir()
        self.disk = self.folder / "disk"
        self.starts = 0
        self.proc = None

    def settings(self):
        """Returns what the platform fills into ``deploy/host.jsonc``."""
        listen = {"peers": self.peers, "metrics": self.metrics}
        if self.is_relay:
            listen |= {"callers": self.front, "ready": self.ready}
        return {
            "name": self.name,
            "data_centre": self.zone,
            "data_centres": list(ZONES),
            "regions": dict.fromkeys(ZONES, "bengal"),
            "requirements": ["base", "drain", "config", "cost", "recover", "agent"]
            + ["stream", "engine", "tenants", "quota", "platform"],
            "first_start": self.starts == 0,
            "data_folder": None if self.is_relay else str(self.disk),
            "listen": listen,
            "store": {"max_value_bytes": 1_048_576, "url": self.bed.store.url},
            "records": {"lost_hosts": 1},
            "slow_start": {},
            "memory": {"limit_mb": 150 if self.is_relay else 180},
            "logs": {"level": "INFO", "path": "-"},
        }

    async def start(self):
        path = self.folder / "settings.jsonc"
        path.write_text(json.dumps(self.settings()))
        if not self.is_relay:
            self.disk.mkdir(exist_ok=True)
        self.starts += 1
        kept = ("PATH", "HOME", "LANG")
        env = {name: os.environ[name] for name in kept if name in os.environ}
        env["PYTHONPATH"] = str(ROOT / "target" / "deps")
        env["MAGNOLIAROAD_NODE_FILE"] = str(path)
        with (self.folder / f"log-{self.starts}").open("w") as log:
            self.proc = await asyncio.create_subprocess_exec(
                "python3", "platform/host.py", cwd=ROOT, env=env, stdout=log, stderr=log
            )
        self.bed.record(f"{self.name} started")

    def logged(self, text):
        """Returns the lines of its logs that contain ``text``."""
        lines = []
        for path in sorted(self.folder.glob("log-*")):
            lines += [x for x in path.read_text().splitlines() if text in x]
        return lines

    async def kill(self):
        if self.proc is not None and self.proc.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                # A stopped process ends by SIGKILL as well.
                self.proc.send_signal(signal.SIGKILL)
            await self.proc.wait()
            self.bed.record(f"{self.name} killed")

    def pause(self):
        self.proc.send_signal(signal.SIGSTOP)
        self.bed.record(f"{self.name} stands still")

    def wake(self):
        self.proc.send_signal(signal.SIGCONT)
        self.bed.record(f"{self.name} goes on")

    def lose_disk(self):
        """Empties the disk; the process must have ended."""
        shutil.rmtree(self.disk)
        self.bed.record(f"{self.name} has lost its disk")


class Runner:
    """A runner that answers streams and plain calls as PROTOCOL.md says."""

    def __init__(self, bed, name, service, zone, version="v1"):
        self.bed, self.name, self.service, self.zone = bed, name, service, zone
        self.version = version
        self.address = free_address()
        self.born = int(time.time() * 1000)
        self.events, self.pause_s = 18, 0.03
        self.runs = []
        self.server = None
        self.writers = set()

    def entry(self):
        return {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": self.version,
            "slots": 64,
            "state": "ready",
            "cold_remaining_ms": 0,
            "call_seq": 0,
            "born": self.born,
        }

    def register(self):
        self.bed.store.write(f"servers/{self.name}", self.entry())
        self.bed.record(f"{self.name} registers as {self.version}, born {self.born}")

    async def start(self):
        self.server = await asyncio.start_server(self._serve, *split(self.address))
        self.bed.record(f"{self.name} serves as {self.version}")
        return self

    def crash(self):
        """Ends as a process does: no more listening, channels are reset."""
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()
        self.bed.record(f"{self.name} crashes")

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while await self._answer(reader, writer):
                pass
        except (OSError, EOFError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def _answer(self, reader, writer):
        head = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
        method, path, _ = head[0].split(" ")
        pairs = (line.split(":", 1) for line in head[1:] if line)
        headers = {name.strip().lower(): value.strip() for name, value in pairs}
        body = await reader.readexactly(int(headers.get("content-length", 0)))
        request_id = headers.get("magnoliaroad-request-id", "")
        named = headers.get("magnoliaroad-expect-instance", self.name)
        if named != self.name:
            writer.write(
                "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n"
                f"Magnoliaroad-Request-Id: {request_id}\r\n"
                f"Magnoliaroad-Instance-Id: {self.name}\r\n\r\n".encode()
            )
            return True
        after = int(headers.get("last-event-id", 0))
        self.runs.append((request_id, method, path, headers, body))
        self.bed.record(
            f"{self.name} ({self.version}) runs {request_id}: {method} {path}, "
            f"{len(body)} B, after event {after}"
        )
        return await self.run(writer, request_id, after)

    async def run(self, writer, request_id, after):
        version = self.version
        writer.write(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
            f"Magnoliaroad-Request-Id: {request_id}\r\n"
            f"Magnoliaroad-Response-Seal: {SEAL}\r\n"
            "Transfer-Encoding: chunked\r\n\r\n".encode()
        )
        for number in range(after + 1, self.events + 1):
            event = f"id: {number}\ndata: piece {number} by {version}\n\n".encode()
            writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
            await writer.drain()
            await asyncio.sleep(self.pause_s)
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        return True


class Answer:
    """What a requester has got for one requester attempt.

    Attributes:
        status: Status; 0 if there was none.
        headers: Its headers, names in lower case.
        body: What came of the body.
        whole: Whether the body is complete.
    """

    def __init__(self):
        self.status, self.headers, self.body, self.whole = 0, {}, b"", False

    def events(self):
        """Returns the complete events as (id, data)."""
        found = []
        for event in self.body.split(b"\n\n")[:-1]:
            fields = dict(line.split(": ", 1) for line in event.decode().split("\n"))
            found.append((int(fields["id"]), fields["data"]))
        return found


class Bed:
    """The deployment."""

    def __init__(self, folder, record, config, relays=(3, 2, 2), stores=(1, 1, 1)):
        self.folder, self.record, self.config = folder, record, config
        self.counts = relays, stores
        self.store = KvStandin()
        self.relays, self.stores, self.runners = [], [], []
        self._ids = itertools.count(1)
        self._run = f"{os.getpid():x}{int(time.time() * 1000):x}"

    async def __aenter__(self):
        await self.store.start()
        self.store.write("op/config", self.config)
        for zone, relays, stores in zip(ZONES, *self.counts, strict=True):
            for number in range(relays):
                self.relays.append(Host(self, f"front-{zone}-{number + 1}", zone, True))
            for number in range(stores):
                self.stores.append(
                    Host(self, f"store-{zone}-{number + 1}", zone, False)
                )
        await asyncio.gather(*(host.start() for host in self.hosts))
        return self

    async def __aexit__(self, *exc_info):
        for host in self.hosts:
            await host.kill()
        for runner in self.runners:
            runner.crash()
        await self.store.stop()

    @property
    def hosts(self):
        return [*self.stores, *self.relays]

    async def add_runner(self, *args, **kwargs):
        runner = Runner(self, *args, **kwargs)
        self.runners.append(await runner.start())
        runner.register()
        return runner

    def new_id(self):
        return f"{self._run}{next(self._ids):05x}"

    async def until_ready(self, hosts=None, limit_s=30.0):
        async with asyncio.timeout(limit_s):
            for host in self.relays if hosts is None else hosts:
                while not await self.is_ready(host):
                    await asyncio.sleep(0.05)

    async def is_ready(self, host):
        try:
            reader, writer = await asyncio.open_connection(*split(host.ready))
        except OSError:
            return False
        try:
            writer.write(b"GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n")
            async with asyncio.timeout(1.0):
                return b" 200 " in await reader.readline()
        except (OSError, TimeoutError):
            return False
        finally:
            writer.close()

    def headers(self, request_id, limit_s, body, more, key=KEY):
        """Returns the headers of a requester attempt."""
        headers = {
            "Host": ROUTE_HOST,
            "Magnoliaroad-Request-Id": request_id,
            "Magnoliaroad-Deadline-Ms": str(int(limit_s * 1000)),
            "Authorization": f"Bearer {key}",
            "Content-Length": str(len(body)),
        }
        return headers | {name.replace("_", "-"): str(x) for name, x in more.items()}

    async def send(
        self, relay, method, path, body=b"", limit_s=5.0, request_id="", key=KEY, **more
    ):
        """Makes one requester attempt on a new channel."""
        request_id = request_id or self.new_id()
        headers = self.headers(request_id, limit_s, body, more, key)
        answer = Answer()
        self.record(f"sent to {relay.name}: {request_id} {method} {path} {more or ''}")
        writer = None
        try:
            async with asyncio.timeout(limit_s + 0.5):
                reader, writer = await asyncio.open_connection(*split(relay.front))
                writer.write(_request(method, path, headers, body))
                await _read_answer(reader, answer)
        except (OSError, EOFError, TimeoutError, ValueError):
            pass
        finally:
            if writer is not None:
                writer.close()
        self.record(
            f"answered {request_id}: {answer.status}, {len(answer.body)} B, "
            + ("whole" if answer.whole else "broken off")
        )
        return answer


def _request(method, path, headers, body):
    lines = [f"{method} {path} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


async def _read_answer(reader, answer):
    head = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
    pairs = (line.split(":", 1) for line in head[1:] if line)
    answer.headers = {name.strip().lower(): value.strip() for name, value in pairs}
    answer.status = int(head[0].split(" ")[1])
    if "content-length" in answer.headers:
        size = int(answer.headers["content-length"])
        while len(answer.body) < size:
            data = await reader.read(size - len(answer.body))
            if not data:
                return
            answer.body += data
    else:
        while size := int(await reader.readuntil(b"\r\n"), 16):
            answer.body += await reader.readexactly(size)
            await reader.readexactly(2)
        await reader.readexactly(2)
    answer.whole = True


def route(name, prefix, kind, service, **changes):
    fields = {
        "name": name,
        "host": ROUTE_HOST,
        "path_prefix": prefix,
        "kind": kind,
        "timeout_ms": 5000,
        "target_latency_ms": 250,
        "priority": 0,
        "service": service,
        "max_attempts": 2,
        "retain": False,
        "retention_s": 0.0,
        "auth_exempt": False,
        "session_affinity": True,
        "resumable": False,
        "gap_aim_ms": 300,
    }
    return fields | changes


def config(routes, version=7):
    """Returns a configuration like that of the wire examples."""
    return {
        "version": version,
        "routes": routes,
        "services": [
            {
                "name": "lm-pool",
                "health_path": "/health",
                "max_conns": 360,
                "protocol": "h1",
                "tls": False,
                "engine": {"slots": 64, "tokens_per_event": 14},
            },
            {
                "name": "league-app",
                "health_path": "/health",
                "max_conns": 100,
                "protocol": "h1",
                "tls": False,
            },
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        "tenants": [
            {
                "name": "hule930",
                "api_keys": [KEY],
                "priority": 1,
                "rate_per_s": 125,
                "burst": 125,
            }
        ],
    }


def main(folder, play, limit_s=110.0):
    """Runs ``play(record, folder, trouble)``, which returns whether the rule held.

    Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
    """
    record = Record(folder)
    trouble = os.environ.get("TROUBLE", "1") != "0"
    temp = Path(tempfile.mkdtemp(prefix="review-2-"))
    record(f"with the disruption: {trouble}", show=True)
    try:
        held = asyncio.run(_limited(play(record, temp, trouble), limit_s))
        record("the rule held" if held else "THE RULE WAS BROKEN", show=True)
        code = 0 if held else 1
    except BaseException:
        record("the case could not run:\n" + traceback.format_exc(), show=True)
        code = 2
    finally:
        if os.environ.get("KEEP_LOGS"):
            shutil.copytree(temp, os.environ["KEEP_LOGS"], dirs_exist_ok=True)
        shutil.rmtree(temp, ignore_errors=True)
    sys.exit(code)


async def _limited(playing, limit_s):
    # SIGTERM ends the case, and with it the processes that it started.
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, asyncio.current_task().cancel)
    async with asyncio.timeout(limit_s):
        return await playing
