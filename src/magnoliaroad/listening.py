"""Listening sockets: opening them, and accepting connections."""

import asyncio
import errno
import socket
import time
from collections.abc import Awaitable, Callable
from typing import Any, TypeVar

from loguru import logger
from typing_extensions import override

T = TypeVar("T")
# Errors that end by themselves: another process holds the port, as the former one of
# this host may do until it has ended, or the interface is not up yet.
TEMPORARY_ERRORS = (errno.EADDRINUSE, errno.EADDRNOTAVAIL)
# Errors of accept after which asyncio waits for a second.
RESOURCE_ERRORS = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)
# Pause between two attempts, in seconds.
RETRY_S = 0.05
# Time between two log lines about the same address, in seconds.
LOG_INTERVAL_S = 5.0


async def open_when_free(open_listener: Callable[[], Awaitable[T]], address: str) -> T:
    """Opens a listener, and waits for as long as its address cannot be had.

    Args:
        open_listener: Opens the listener.
        address: Its address ``ip:port``, for the log.

    Raises:
        OSError: The address can never be had.
    """
    began, next_log_at = time.monotonic(), 0.0
    while True:
        try:
            listener = await open_listener()
        except OSError as exc:
            if exc.errno not in TEMPORARY_ERRORS:
                raise
            reason, now = str(exc), time.monotonic()
            if now >= next_log_at:
                next_log_at = now + LOG_INTERVAL_S
                logger.bind(
                    address=address, waited_s=round(now - began, 2), reason=reason
                ).warning("waiting for address to listen on")
            await asyncio.sleep(RETRY_S)
            continue
        if next_log_at:
            logger.bind(
                address=address, waited_s=round(time.monotonic() - began, 2)
            ).info("listening after a wait")
        return listener


class ListeningSocket(socket.socket):
    """Listening socket that lets asyncio wait after it has run out of descriptors.

    Python 3.11 accepts as many connections as the backlog is long in a row. At an error
    after which it means to wait it does not stop, but logs the error and schedules an
    attempt for each of them, which then multiply.
    """

    _out_of_resources = False

    @override
    def accept(self) -> tuple[socket.socket, Any]:
        if self._out_of_resources:
            self._out_of_resources = False
            raise BlockingIOError(errno.EAGAIN, "accept waits for resources")
        try:
            return super().accept()
        except OSError as exc:
            self._out_of_resources = exc.errno in RESOURCE_ERRORS
            raise


def listening_socket(address: str, port: int) -> ListeningSocket:
    """Returns a TCP socket that is bound to an IP address and a port.

    Raises:
        OSError: The address cannot be had.
    """
    sock = ListeningSocket(socket.AF_INET6 if ":" in address else socket.AF_INET)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    try:
        sock.bind((address, port))
    except OSError:
        sock.close()
        raise
    return sock
