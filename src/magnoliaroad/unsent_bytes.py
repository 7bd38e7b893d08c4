"""Counts and limits the bytes of answers that callers have not received yet."""

import asyncio
import fcntl
import struct
import termios

# Bytes that the process holds for a caller before it waits until the caller has taken
# some of them. They let an answer be read from its target in time and delivered late.
MAX_UNSENT_BYTES = 131_072
# Requests in flight beyond which they are fewer for each further one, and how many.
MANY_REQUESTS = 50
MANY_UNSENT_BYTES = 16_384


def limit_unsent(transport: asyncio.Transport, requests: int) -> None:
    """Limits what the process holds of an answer that its caller does not read.

    Args:
        transport: Connection of the caller.
        requests: Other requests in flight at this host.
    """
    many = requests > MANY_REQUESTS
    transport.set_write_buffer_limits(MANY_UNSENT_BYTES if many else MAX_UNSENT_BYTES)


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
