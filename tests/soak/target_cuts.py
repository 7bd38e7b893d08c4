"""Cuts a host process off from the targets while a file says so.

The network of one process cannot be cut from outside it without privileges, so the
soak's program for hosts does it at its sockets. Connections to the store and to other
hosts are left alone.
"""

import asyncio
import contextlib
import errno
import json
import os
from asyncio.selector_events import BaseSelectorEventLoop
from pathlib import Path

CUT_FILE = "cut.json"
# ``"refuse"`` leaves connections alive; all kinds keep new ones from being made.
CUTS = ("silent", "reset", "refuse")
# Time between looks at the file, in seconds.
CHECK_INTERVAL_S = 0.05


class TargetCuts:
    """Fails connections to all ports but those that the file names.

    Args:
        path: The file; it is absent while nothing is cut.
    """

    def __init__(self, path):
        self.path = path
        self._connect = BaseSelectorEventLoop.sock_connect
        self._socks = {}
        self._watch = None

    def install(self):
        cuts = self

        async def sock_connect(loop, sock, address):
            if cuts._watch is None:
                cuts._watch = loop.create_task(cuts._follow(loop))
            cut = cuts._read()
            if cut is not None and address[1] not in cut["allowed"]:
                if cut["how"] == "silent":
                    await asyncio.sleep(60.0)
                raise OSError(errno.ECONNREFUSED, "cut")
            await cuts._connect(loop, sock, address)
            cuts._socks[sock.fileno()] = sock, address[1]

        BaseSelectorEventLoop.sock_connect = sock_connect

    def _read(self):
        try:
            return json.loads(self.path.read_bytes())
        except FileNotFoundError:
            return None

    async def _follow(self, loop):
        paused = None
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            cut = self._read()
            if cut is not None and paused is None:
                paused = [] if cut["how"] == "refuse" else self._end(loop, cut)
            elif cut is None and paused is not None:
                for transport in paused:
                    with contextlib.suppress(RuntimeError):
                        transport.resume_reading()
                paused = None

    def _end(self, loop, cut):
        """Resets the connections to targets, or loses what they answer.

        Returns:
            The transports whose answers are lost until the cut ends.
        """
        paused = []
        for fd, (sock, port) in list(self._socks.items()):
            transport = loop._transports.get(fd)
            if sock.fileno() != fd or transport is None:
                del self._socks[fd]
            elif port not in cut["allowed"] and cut["how"] == "reset":
                transport.abort()
            elif port not in cut["allowed"]:
                transport.pause_reading()
                paused.append(transport)
        return paused


def write_cut(folder, how, allowed):
    """Cuts the host of ``folder`` off from all ports but ``allowed``."""
    path = folder / CUT_FILE
    path.with_suffix(".new").write_text(json.dumps({"how": how, "allowed": allowed}))
    path.with_suffix(".new").replace(path)


def end_cut(folder):
    (folder / CUT_FILE).unlink(missing_ok=True)


def install():
    """Installs the cuts in this host process, by the folder of its settings."""
    folder = Path(os.environ["MAGNOLIAROAD_NODE_FILE"]).parent
    TargetCuts(folder / CUT_FILE).install()
