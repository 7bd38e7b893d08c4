"""Counts in-flight requests."""

import asyncio

from magnoliaroad.event_wait import wait_for_event


class InFlightRequests:
    """Counts in-flight requests and waits until there are none.

    Used as a context manager around each request.

    Attributes:
        count: Number of in-flight requests.
    """

    def __init__(self) -> None:
        self.count = 0
        self._idle = asyncio.Event()
        self._idle.set()

    def __enter__(self) -> None:
        self.count += 1
        self._idle.clear()

    def __exit__(self, *exc_info: object) -> None:
        self.count -= 1
        if self.count == 0:
            self._idle.set()

    async def wait_idle(self, limit_s: float) -> bool:
        """Waits at most ``limit_s`` until no request is in flight.

        Returns:
            Whether no request was in flight in time.
        """
        return await wait_for_event(self._idle, limit_s)
