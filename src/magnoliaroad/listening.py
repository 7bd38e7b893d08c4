"""Opening of listening sockets whose address another process may still hold."""

import asyncio
import errno
import time
from collections.abc import Awaitable, Callable
from typing import TypeVar

from loguru import logger

T = TypeVar("T")
# Errors that end by themselves: another process holds the port, as the former one of
# this host may do until it has ended, or the interface is not up yet.
TEMPORARY_ERRORS = (errno.EADDRINUSE, errno.EADDRNOTAVAIL)
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
