"""Ports for servers that are started, or restarted, after the port was chosen."""

import fcntl
import os
import random
import socket
import tempfile
from pathlib import Path

# Below the ephemeral ports: an outgoing connection could take one of those between its
# choice and the start of the server, or while the server is down.
FIRST_PORT, LAST_PORT = 10_000, 32_000
# Each byte of this file stands for a port. A process locks those that it has chosen;
# they are unlocked when it ends.
LOCK_FILE = Path(tempfile.gettempdir()) / f"magnoliaroad-ports-{os.getuid()}.lock"
# Ports returned before; their servers may not listen yet.
_RETURNED_PORTS = set()
# Stays open: to close any descriptor of the file would unlock all ports.
_LOCK_FD = os.open(LOCK_FILE, os.O_RDWR | os.O_CREAT, 0o600)


def _lock(port):
    """Returns whether no other process has chosen ``port``."""
    try:
        fcntl.lockf(_LOCK_FD, fcntl.LOCK_EX | fcntl.LOCK_NB, 1, port)
    except OSError:
        return False
    return True


def free_port():
    """Returns an unused port of 127.0.0.1.

    No other call returns it, in any process, until this process ends.
    """
    while True:
        port = random.SystemRandom().randrange(FIRST_PORT, LAST_PORT)
        if port in _RETURNED_PORTS or not _lock(port):
            continue
        with socket.socket() as sock:
            try:
                sock.bind(("127.0.0.1", port))
            except OSError:
                continue
        _RETURNED_PORTS.add(port)
        return port
