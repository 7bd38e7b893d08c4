"""Counts the bytes of answers that callers have not received yet."""

import asyncio
import fcntl
import struct
import termios


def unsent_bytes(transport: asyncio.Transport) -> int:
    """Returns the bytes that the caller's side has not acknowledged.

    These are what the process still holds and what is in the kernel's send queue, which
    the kernel drops when it resets the connection.
    """
    count = transport.get_write_buffer_size()
    sock = transport.get_extra_info("socket")
    if sock is not None and sock.fileno() >= 0:
        queued = fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, bytes(4))
        count += struct.unpack("i", queued)[0]
    return count
