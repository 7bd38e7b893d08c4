"""Sockets that detect an unresponsive peer by TCP keepalive."""

import socket
from typing import Any

from magnoliaroad.receive_buffers import FULL_BYTES, limit_receive_buffer

# A connection whose peer disappeared without a reset is closed after about the idle
# time and two probe intervals, or when sent data stays unacknowledged.
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
UNACKED_TIMEOUT_MS = 2500


def keepalive_socket(address: Any, receive_bytes: int = FULL_BYTES) -> socket.socket:
    """Returns a socket with short keepalive times.

    Args:
        address: The ``addrinfo`` of what it is to be connected to.
        receive_bytes: Most unread bytes that the kernel holds.
    """
    family, kind, protocol, _, _ = address
    sock = socket.socket(family=family, type=kind, proto=protocol)
    sock.setblocking(False)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    limit_receive_buffer(sock, receive_bytes)
    tcp = socket.IPPROTO_TCP
    sock.setsockopt(tcp, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(tcp, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    sock.setsockopt(tcp, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    sock.setsockopt(tcp, socket.TCP_USER_TIMEOUT, UNACKED_TIMEOUT_MS)
    return sock
