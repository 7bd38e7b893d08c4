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


class StallTimer:
    """Checks all watches with one timer, which runs while there are any."""

    def __init__(self) -> None:
        self.limit_s = CALLER_STALL_S
        self._watches: set[StallWatch] = set()
        self._running = False

    def add(self, watch: "StallWatch") -> None:
        """Checks ``watch`` from now on."""
        self._watches.add(watch)
        if not self._running:
            self._schedule()

    def remove(self, watch: "StallWatch") -> None:
        """Ends the checks of ``watch``."""
        self._watches.discard(watch)

    def _schedule(self) -> None:
        self._running = True
        loop = asyncio.get_running_loop()
        loop.call_later(self.limit_s / CHECKS, self._check_all)

    def _check_all(self) -> None:
        self._running = False
        for watch in tuple(self._watches):
            try:
                watch.check()
            except Exception as exc:
                self.remove(watch)
                logger.opt(exception=exc).error("caller not watched")
        if self._watches:
            self._schedule()


class StallWatch:
    """Context manager that disconnects a caller which stops reading.

    Args:
        timer: Checks the watches of the server.
        req: The caller's request.
        request_id: Its id, for the log.

    Attributes:
        stalled: Whether the caller was disconnected.
    """

    def __init__(
        self, timer: StallTimer, req: web.BaseRequest, request_id: str
    ) -> None:
        self.stalled = False
        self._timer = timer
        self._req = req
        self._request_id = request_id
        # Unknown until the first check, which may come at once.
        self._taken: int | None = None
        self._idle_checks = 0

    def __enter__(self) -> Self:
        self._timer.add(self)
        return self

    def __exit__(self, *exc_info: object) -> None:
        self._timer.remove(self)

    def check(self) -> None:
        """Disconnects the caller if it took no byte in the last ``CHECKS`` checks."""
        transport = self._req.transport
        if transport is None or transport.is_closing():
            self._timer.remove(self)
            return
        unsent = unsent_bytes(transport)
        taken = self._req.writer.output_size - unsent
        if unsent and taken == self._taken:
            self._idle_checks += 1
        else:
            self._taken, self._idle_checks = taken, 0
        if self._idle_checks < CHECKS:
            return
        self.stalled = True
        self._timer.remove(self)
        logger.bind(
            request=self._request_id, reason="caller too slow", unsent_bytes=unsent
        ).warning("answer cut off")
        transport.abort()
