"""Disconnects callers that stop reading their answers."""

import asyncio
from typing import Self

from aiohttp import web
from loguru import logger

from magnoliaroad.unsent_bytes import unsent_bytes

# Longest time in which a caller takes no byte of its answer, in seconds; the default
# of nginx's ``send_timeout``.
CALLER_STALL_S = 60.0
# Checks within that time.
CHECKS = 4


class StallWatch:
    """Context manager that disconnects a caller which stops reading.

    Args:
        req: The caller's request.
        request_id: Its id, for the log.

    Attributes:
        stalled: Whether the caller was disconnected.
    """

    def __init__(self, req: web.BaseRequest, request_id: str) -> None:
        self.stalled = False
        self._req = req
        self._request_id = request_id
        self._limit_s = CALLER_STALL_S
        self._taken = 0
        self._idle_checks = 0
        self._timer: asyncio.TimerHandle | None = None

    def __enter__(self) -> Self:
        self._schedule()
        return self

    def __exit__(self, *exc_info: object) -> None:
        if self._timer is not None:
            self._timer.cancel()

    def _schedule(self) -> None:
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(self._limit_s / CHECKS, self._check)

    def _check(self) -> None:
        transport = self._req.transport
        if transport is None or transport.is_closing():
            return
        unsent = unsent_bytes(transport)
        taken = self._req.writer.output_size - unsent
        if unsent and taken == self._taken:
            self._idle_checks += 1
        else:
            self._taken, self._idle_checks = taken, 0
        if self._idle_checks < CHECKS:
            self._schedule()
            return
        self.stalled = True
        logger.bind(
            request=self._request_id, reason="caller too slow", unsent_bytes=unsent
        ).warning("answer cut off")
        transport.abort()
