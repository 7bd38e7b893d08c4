"""Counts the requests that are being answered."""

import asyncio

from magnoliaroad.set_within import set_within


class InHand:
    """Number of requests in progress, and a wait for the last of them.

    Used as a context manager around each request.
    """

    def __init__(self) -> None:
        self.count = 0
        self._none = asyncio.Event()
        self._none.set()

    def __enter__(self) -> None:
        self.count += 1
        self._none.clear()

    def __exit__(self, *exc_info: object) -> None:
        self.count -= 1
        if self.count == 0:
            self._none.set()

    async def wait_none(self, limit_s: float) -> bool:
        """Waits until no request is in progress; returns whether that came."""
        return await set_within(self._none, limit_s)
