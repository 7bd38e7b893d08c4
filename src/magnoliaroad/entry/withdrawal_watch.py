"""Runs callbacks when a caller's key is withdrawn."""

import asyncio
from collections.abc import Callable

from magnoliaroad.keys import Caller, KeyService

Callback = Callable[[], None]


class WithdrawalWatch:
    """Registers callbacks by key; one task per key waits for its withdrawal."""

    def __init__(self, keys: KeyService) -> None:
        self._keys = keys
        self._callbacks: dict[str, set[Callback]] = {}
        self._tasks: dict[str, asyncio.Task[None]] = {}

    def add(self, caller: Caller, callback: Callback) -> None:
        """Calls ``callback`` once when the caller's key is withdrawn, or has been."""
        event = self._keys.invalidation_event(caller)
        if event.is_set():
            callback()
            return
        self._callbacks.setdefault(caller.digest, set()).add(callback)
        if caller.digest not in self._tasks:
            task = asyncio.create_task(self._wait(caller.digest, event))
            self._tasks[caller.digest] = task

    def remove(self, caller: Caller, callback: Callback) -> None:
        """Unregisters ``callback``."""
        self._callbacks.get(caller.digest, set()).discard(callback)

    def close(self) -> None:
        """Cancels all tasks."""
        for task in self._tasks.values():
            task.cancel()

    async def _wait(self, digest: str, event: asyncio.Event) -> None:
        await event.wait()
        del self._tasks[digest]
        for callback in self._callbacks.pop(digest, set()):
            callback()
