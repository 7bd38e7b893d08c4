"""Keeps the kernel from opening connections that nobody will accept."""

import ctypes
import socket
import struct

from loguru import logger

# ``asm/socket.h``; Python has no name for it. The same on x86-64 and arm64.
SO_ATTACH_FILTER = 26
# Drops segments that have the SYN flag, which ask for a connection. Each instruction is
# a code, the jumps if true and if false, and a constant; see ``bpf(4)``.
DROP_SYN = (
    (0x30, 0, 0, 13),  # Load the byte of the TCP header that has the flags.
    (0x45, 0, 1, 0x02),  # If SYN is set, go on, else jump over the next one.
    (0x06, 0, 0, 0),  # Drop the segment.
    (0x06, 0, 0, 0xFFFFFFFF),  # Accept all of it.
)


def drop_new_connections(sock: socket.socket) -> None:
    """Drops requests for connections to a listening socket.

    Handshakes that have begun go on. Callers that connect now are refused when they
    repeat their request after the socket was closed.
    """
    program = b"".join(struct.pack("HBBI", *instruction) for instruction in DROP_SYN)
    buffer = ctypes.create_string_buffer(program)
    option = struct.pack("HP", len(DROP_SYN), ctypes.addressof(buffer))
    try:
        sock.setsockopt(socket.SOL_SOCKET, SO_ATTACH_FILTER, option)
    except OSError as exc:
        logger.bind(reason=repr(exc)).info("new connections not dropped")
