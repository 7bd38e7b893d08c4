"""Ports for servers that are started, or started again, after they were chosen."""

import random
import socket

# Below the ports that the kernel gives to outgoing connections: one of those could take
# a port between its choice and the server's start, or while the server is down.
FIRST, LAST = 10_000, 32_000
# Ports given out by this process; a server may not listen on its port yet.
_GIVEN = set()


def free_port():
    """Returns a port of 127.0.0.1 that nobody listens on, each only once."""
    while True:
        port = random.SystemRandom().randrange(FIRST, LAST)
        if port in _GIVEN:
            continue
        with socket.socket() as sock:
            try:
                sock.bind(("127.0.0.1", port))
            except OSError:
                continue
        _GIVEN.add(port)
        return port
