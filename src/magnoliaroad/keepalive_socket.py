"""Sockets that detect an unresponsive peer by TCP keepalive."""

import socket
from typing import Any

# A connection whose peer disappeared without a reset is closed after about the idle
# time and two probe intervals, or when sent data stays unacknowledged.
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
UNACKED_TIMEOUT_MS = 2500


def keepalive_socket(address: Any) -> socket.socket:
    """Returns a socket for ``address`` (an ``addrinfo``) with short keepalive times."""
    family, kind, protocol, _, _ = address
    sock = socket.socket(family=family, type=kind, proto=protocol)
    sock.setblocking(False)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    tcp = socket.IPPROTO_TCP
    sock.setsockopt(tcp, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(tcp, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    sock.setsockopt(tcp, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    sock.setsockopt(tcp, socket.TCP_USER_TIMEOUT, UNACKED_TIMEOUT_MS)
    return sock
