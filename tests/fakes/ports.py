"""Ports for servers that are started, or restarted, after the port was chosen."""

import random
import socket

# Below the ephemeral ports: an outgoing connection could take one of those between its
# choice and the start of the server, or while the server is down.
FIRST_PORT, LAST_PORT = 10_000, 32_000
# Ports returned before; their servers may not listen yet.
_RETURNED_PORTS = set()


def free_port():
    """Returns an unused port of 127.0.0.1, a different one in each call."""
    while True:
        port = random.SystemRandom().randrange(FIRST_PORT, LAST_PORT)
        if port in _RETURNED_PORTS:
            continue
        with socket.socket() as sock:
            try:
                sock.bind(("127.0.0.1", port))
            except OSError:
                continue
        _RETURNED_PORTS.add(port)
        return port
