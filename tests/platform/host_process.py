"""A host as a process of its own, with stand-ins of the store and the targets."""

import asyncio
import contextlib
import json
import os
import socket
import sys
from typing import NamedTuple

import aiohttp

from tests.platform.deployment import KEY, config, free_address
from tests.platform.kv_standin import KvStandin
from tests.platform.raw_caller import raw_connection
from tests.platform.raw_target import LINGER_0
from tests.soak.fleet import HOST_PROGRAM

RELAY_LISTENERS = ("peers", "metrics", "callers", "ready")
RECORD_LISTENERS = RELAY_LISTENERS[:2]
HEADERS = {
    "Host": "arcade.example",
    "Authorization": f"Bearer {KEY}",
    "Magnoliaroad-Request-Id": "request-1",
    "Magnoliaroad-Deadline-Ms": "2000",
}


class HostProcess(NamedTuple):
    """A running host.

    Attributes:
        proc: Its process.
        listen: Its addresses by name.
        kv: The stand-in of the store.
        log: File with its log.
    """

    proc: asyncio.subprocess.Process
    listen: dict[str, str]
    kv: KvStandin
    log: os.PathLike

    def logged(self, event):
        """Returns the lines of its log with this event."""
        return [line for line in self.lines() if line["event"] == event]

    def lines(self):
        """Returns the lines of its log, without one that it is writing."""
        whole, _, _ = self.log.read_text().rpartition("\n")
        return [json.loads(line) for line in whole.splitlines()]

    def last_lines(self):
        """Returns the end of its log, for the message of a failure."""
        return self.log.read_text()[-2000:]

    async def until_logged(self, event):
        async with asyncio.timeout(20.0):
            while not self.logged(event):
                assert self.proc.returncode is None, self.last_lines()
                await asyncio.sleep(0.02)

    async def until_ready(self):
        async with aiohttp.ClientSession() as session, asyncio.timeout(20.0):
            while not await self._is_ready(session):
                assert self.proc.returncode is None, self.last_lines()
                await asyncio.sleep(0.02)

    async def _is_ready(self, session):
        with contextlib.suppress(aiohttp.ClientConnectionError):
            async with session.get(f"http://{self.listen['ready']}/-/ready") as resp:
                return resp.status == 200
        return False

    def peak_mb(self):
        """Returns the most memory that the process has held, in megabytes."""
        return self._memory_mb("VmHWM")

    def resident_mb(self):
        """Returns the memory that the process holds now, in megabytes."""
        return self._memory_mb("VmRSS")

    def _memory_mb(self, field):
        with open(f"/proc/{self.proc.pid}/status") as status:
            lines = dict(line.split(":", 1) for line in status)
        return int(lines[field].split()[0]) * 1024 / 1_000_000


@contextlib.asynccontextmanager
async def host_process(
    tmp_path,
    *targets,
    names=RELAY_LISTENERS,
    program=(HOST_PROGRAM,),
    before_start=lambda path: None,
    operator_config=None,
    **settings,
):
    """Starts a host and its targets; ends the host if it still runs.

    ``before_start`` is called with the path of the file of settings.
    """
    kv = await KvStandin().start()
    kv.write("op/config", operator_config or config())
    for target in targets:
        await target.start()
        kv.write(f"servers/{target.name}", target.entry())
    listen = {name: free_address() for name in names}
    fields = {
        "name": "host-1",
        "data_centre": "dc-1",
        "data_folder": str(tmp_path),
        "listen": listen,
        "store": {"url": kv.url},
        "drain": {"notice_s": 0.1},
        **settings,
    }
    path = tmp_path / "settings.json"
    path.write_text(json.dumps(fields))
    before_start(path)
    env = {**os.environ, "MAGNOLIAROAD_NODE_FILE": str(path)}
    log = tmp_path / "log"
    with log.open("w") as output:
        proc = await asyncio.create_subprocess_exec(
            sys.executable, *program, stdout=output, stderr=output, env=env
        )
    try:
        yield HostProcess(proc, listen, kv, log)
    finally:
        if proc.returncode is None:
            proc.kill()
        await proc.wait()
        for target in targets:
            await target.stop()
        await kv.stop()


def send_and_reset(address, data):
    """Sends bytes and resets the connection, without waiting for the host."""
    host, _, port = address.rpartition(":")
    with socket.create_connection((host, int(port))) as sock:
        sock.sendall(data)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_0)


async def read_metrics(address):
    """Returns the status of the answer; metrics may be served a little later."""
    async with aiohttp.ClientSession() as session, asyncio.timeout(5.0):
        while True:
            with contextlib.suppress(aiohttp.ClientConnectionError):
                async with session.get(f"http://{address}/metrics") as resp:
                    return resp.status
            await asyncio.sleep(0.02)


async def send_and_leave(address, data, wait_s=0.0):
    """Sends bytes, waits for an answer or ``wait_s``, and closes the connection."""
    with contextlib.suppress(OSError, TimeoutError):
        async with raw_connection(address) as (reader, writer):
            writer.write(data)
            await writer.drain()
            if wait_s:
                async with asyncio.timeout(wait_s):
                    await reader.read(1)


async def send_again(address, data, senders, times, wait_s=0.0):
    """Does so ``times`` times with each of ``senders`` callers."""

    async def send():
        for _ in range(times):
            await send_and_leave(address, data, wait_s)

    await asyncio.gather(*(send() for _ in range(senders)))
