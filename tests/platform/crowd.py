"""Crowds of callers that stay within no limit, and what a host holds of them."""

import asyncio
import contextlib
import itertools
import os
import socket
import time
from pathlib import Path

from tests.platform.raw_caller import raw_connection

# Connections of a crowd.
CROWD = 60
# Size of the kernel's buffer of a caller, in bytes.
SEND_BUFFER_BYTES = 4096
# Time between two looks at what a host holds, in seconds.
SAMPLE_S = 0.05
# Longest time for which a crowd presses on a host, in seconds.
LONGEST_PRESSING_S = 60.0
# Fields of a line of /proc/net/tcp.
LOCAL_ADDRESS, STATE, QUEUES, INODE = 1, 3, 4, 9
LISTENING = "0A"


class Crowd:
    """Callers that each run ``act(crowd, reader, writer)`` on a connection of theirs.

    Attributes:
        taken: Bytes that the host has taken from them.
    """

    def __init__(self, address, act, buffer_bytes=None, size=CROWD):
        self._size = size
        self._sent = 0
        self._writers = []
        self._address = address
        self._act = act
        self._buffer_bytes = buffer_bytes
        self._tasks = []

    async def __aenter__(self):
        self._tasks = [asyncio.create_task(self._run()) for _ in range(self._size)]
        return self

    async def __aexit__(self, *exc_info):
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _run(self):
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            async with raw_connection(self._address, self._buffer_bytes) as streams:
                self._writers.append(streams[1])
                sock = streams[1].get_extra_info("socket")
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)
                await self._act(self, *streams)

    @property
    def taken(self):
        buffered = (one.transport.get_write_buffer_size() for one in self._writers)
        return self._sent - sum(buffered)

    async def send(self, writer, data):
        self._sent += len(data)
        writer.write(data)
        await writer.drain()


def in_turn(*acts):
    """Returns an act that does the next of ``acts`` for each caller."""
    following = itertools.cycle(acts)

    async def act(crowd, reader, writer):
        await next(following)(crowd, reader, writer)

    return act


async def until_still(crowd, held=None):
    """Returns once the host takes nothing more from the crowd.

    If ``held`` samples its memory, also once that has not grown beyond its peak. A host
    that serves others beside a crowd may take bytes of it for minutes, so that the wait
    ends after a while.
    """

    def state():
        return crowd.taken, held and held.most_mb

    before, until = None, time.monotonic() + LONGEST_PRESSING_S
    while before != state() and time.monotonic() < until:
        before = state()
        await asyncio.sleep(1.0)


class HeldMemory:
    """Samples the resident memory of a host and the bytes that it has not read.

    The platform counts both. While a crowd is served, and in the kernel's queues of
    connections that wait to be accepted, most bytes are unread.

    Attributes:
        most_mb: Largest sum of both so far, in megabytes.
        most_unread_mb: Most unread bytes so far, in megabytes.
    """

    def __init__(self, host):
        self.most_mb = self.most_unread_mb = 0.0
        self._host = host
        self._ports = {int(one.rpartition(":")[2]) for one in host.listen.values()}
        self._task = None

    async def __aenter__(self):
        self._task = asyncio.create_task(self._sample())
        return self

    async def __aexit__(self, *exc_info):
        self._task.cancel()
        await asyncio.gather(self._task, return_exceptions=True)

    async def _sample(self):
        while self._host.proc.returncode is None:
            unread = self.unread_mb()
            self.most_unread_mb = max(self.most_unread_mb, unread)
            self.most_mb = max(self.most_mb, unread + self._host.resident_mb())
            await asyncio.sleep(SAMPLE_S)

    def unread_mb(self):
        """Returns the bytes that the host's connections have not read, in megabytes."""
        inodes = _socket_inodes(self._host.proc.pid)
        unread = 0
        for line in Path("/proc/net/tcp").read_text().splitlines()[1:]:
            fields = line.split()
            port = int(fields[LOCAL_ADDRESS].rpartition(":")[2], 16)
            if fields[STATE] != LISTENING and (
                fields[INODE] in inodes or port in self._ports
            ):
                unread += int(fields[QUEUES].rpartition(":")[2], 16)
        return unread / 1_000_000


def _socket_inodes(pid):
    folder, inodes = f"/proc/{pid}/fd", set()
    for name in os.listdir(folder):
        with contextlib.suppress(FileNotFoundError):
            kind, _, rest = os.readlink(f"{folder}/{name}").partition(":")
            if kind == "socket":
                inodes.add(rest.strip("[]"))
    return inodes


def slowly(ask):
    """Returns an act that sends the bytes that ``ask()`` returns and reads slowly."""

    async def act(crowd, reader, writer):
        await crowd.send(writer, ask())
        while await reader.read(500):
            await asyncio.sleep(0.05)

    return act
