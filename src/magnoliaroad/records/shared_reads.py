"""Reads that are made once for all who wait for the same thing."""

import asyncio
from collections.abc import Awaitable, Callable, Hashable
from typing import Generic, TypeVar

Key = TypeVar("Key", bound=Hashable)
Value = TypeVar("Value")


class _Read(Generic[Value]):
    """A read that is under way, and how many wait for it."""

    def __init__(self, task: asyncio.Task[Value]) -> None:
        self.task = task
        self.waiting = 0


class SharedReads(Generic[Key, Value]):
    """Joins reads of the same key; one goes on as long as anybody waits for it.

    Args:
        read: Reads the value of a key.
    """

    def __init__(self, read: Callable[[Key], Awaitable[Value]]) -> None:
        self._read = read
        self._under_way: dict[Key, _Read[Value]] = {}

    async def get(self, key: Key) -> Value:
        """Returns the value of ``key``, or raises what reading it raises."""
        read = self._under_way.get(key)
        if read is None:
            task = asyncio.ensure_future(self._read(key))
            read = self._under_way[key] = _Read(task)
        read.waiting += 1
        try:
            return await asyncio.shield(read.task)
        finally:
            read.waiting -= 1
            if not read.waiting or read.task.done():
                read.task.cancel()
                if self._under_way.get(key) is read:
                    del self._under_way[key]
