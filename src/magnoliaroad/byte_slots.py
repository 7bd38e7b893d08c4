"""Bounds the bytes that operations which run at the same time hold together."""

import asyncio
import contextlib
from collections import deque
from collections.abc import AsyncIterator
from typing import NamedTuple


class _Waiter(NamedTuple):
    size: int
    fut: asyncio.Future[None]


class ByteSlots:
    """Lets operations begin, in order, while all that run hold few bytes together.

    An operation that holds more than the limit runs by itself.

    Args:
        limit_bytes: Most bytes of all operations that run.

    Attributes:
        held_bytes: Bytes of the operations that run.
    """

    def __init__(self, limit_bytes: int) -> None:
        self.held_bytes = 0
        self._limit_bytes = limit_bytes
        self._waiting: deque[_Waiter] = deque()

    @contextlib.asynccontextmanager
    async def hold(self, size: int) -> AsyncIterator[None]:
        """Waits until an operation that holds ``size`` bytes may run."""
        if self._waiting or not self._fits(size):
            await self._wait(size)
        else:
            self.held_bytes += size
        try:
            yield
        finally:
            self._free(size)

    def _fits(self, size: int) -> bool:
        return not self.held_bytes or self.held_bytes + size <= self._limit_bytes

    async def _wait(self, size: int) -> None:
        waiter = _Waiter(size, asyncio.get_running_loop().create_future())
        self._waiting.append(waiter)
        try:
            await waiter.fut
        except asyncio.CancelledError:
            if waiter.fut.done() and not waiter.fut.cancelled():
                self._free(size)
            else:
                self._waiting.remove(waiter)
                self._wake()
            raise

    def _free(self, size: int) -> None:
        self.held_bytes -= size
        self._wake()

    def _wake(self) -> None:
        while self._waiting and self._fits(self._waiting[0].size):
            waiter = self._waiting.popleft()
            self.held_bytes += waiter.size
            waiter.fut.set_result(None)
