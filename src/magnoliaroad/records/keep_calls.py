"""Calls that ask for copies of one record, where late replies still count."""

import asyncio
from collections.abc import Collection, Coroutine
from typing import Any

# Outcomes of a call: what the log states.
ASKED = "asked"
LATE = "late"
NOT_REACHED = "not reached"
NOT_SYNCED = "not synced"
# The host has one copy.
SYNCED = "synced"
# No more copies are needed.
KEPT = "kept"


class KeepCalls:
    """Runs the calls for one record until there are enough copies of it.

    Args:
        copies: Number of copies that are enough.

    Attributes:
        outcomes: What came of each call, by host.
    """

    def __init__(self, copies: int) -> None:
        self.outcomes: dict[str, str] = {}
        self._copies = copies
        self._tasks: dict[str, asyncio.Task[str]] = {}

    @property
    def synced(self) -> list[str]:
        """Hosts that have synced a copy."""
        return [host for host, result in self.outcomes.items() if result == SYNCED]

    @property
    def done(self) -> bool:
        """Whether there are enough copies."""
        return KEPT in self.outcomes.values() or len(self.synced) >= self._copies

    @property
    def under_way(self) -> list[str]:
        """Hosts that have not replied yet."""
        return list(self._tasks)

    def needs(self, host: str) -> bool:
        """Returns whether ``host`` has no copy and no call to it is under way."""
        return host not in self._tasks and self.outcomes.get(host) != SYNCED

    def start(self, host: str, call: Coroutine[Any, Any, str]) -> None:
        """Starts a call, which returns its outcome."""
        self.outcomes[host] = ASKED
        self._tasks[host] = asyncio.create_task(call)

    async def wait(self, hosts: Collection[str], limit_s: float) -> bool:
        """Waits until the calls to ``hosts`` have ended or there are enough copies.

        Args:
            hosts: Hosts to wait for; replies of all others count as well.
            limit_s: Longest wait in seconds.

        Returns:
            Whether there are enough copies.
        """
        loop = asyncio.get_running_loop()
        ends_at = loop.time() + limit_s
        while not self.done and not self._tasks.keys().isdisjoint(hosts):
            ended, _ = await asyncio.wait(
                self._tasks.values(),
                timeout=max(0.0, ends_at - loop.time()),
                return_when=asyncio.FIRST_COMPLETED,
            )
            if not ended:
                break
            self._collect()
        return self.done

    def cancel(self) -> None:
        """Cancels the calls that are under way."""
        for task in self._tasks.values():
            task.cancel()

    def _collect(self) -> None:
        for host, task in list(self._tasks.items()):
            if task.done():
                del self._tasks[host]
                self.outcomes[host] = task.result()
