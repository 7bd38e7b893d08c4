"""Store that works directly on a ``KvState``, for tests in virtual time."""

import asyncio
import copy
from collections.abc import Callable, Sequence
from typing import TypeVar

from typing_extensions import override

from magnoliaroad.standins.faults import StoreFaults
from magnoliaroad.standins.kv_state import KvState
from magnoliaroad.store import (
    Store,
    StoreEntry,
    StorePut,
    StoreUnavailable,
    WatchBatch,
)

T = TypeVar("T")
WATCH_LIMIT_S = 20.0
WATCH_STEP_S = 0.05
ANSWER_TIMEOUT_S = 1.0


class LocalStore(Store):
    """Store adapter; several can share one ``KvState`` in a process.

    Args:
        state: State that the adapters of a test share.
        clock: Returns the current time in seconds.
    """

    def __init__(self, state: KvState, clock: Callable[[], float]) -> None:
        self.state = state
        self.clock = clock
        self._faults = StoreFaults()
        self._read_state = state
        self._hang_count = 0

    @property
    def faults(self) -> StoreFaults:
        """Faults that are switched on; a new value takes effect at once."""
        return self._faults

    @faults.setter
    def faults(self, faults: StoreFaults) -> None:
        self._faults = faults
        self._read_state = copy.deepcopy(self.state) if faults.stale else self.state

    def hang_open_watches(self) -> None:
        """Makes the open watches hang until they time out; new ones work."""
        self._hang_count += 1

    @override
    async def get(self, key: str) -> StoreEntry | None:
        return await self._run(lambda: self._read_state.get(key))

    @override
    async def list(self, prefix: str) -> WatchBatch:
        return await self._run(lambda: self._read_state.list(prefix))

    @override
    async def put(
        self,
        key: str,
        value: bytes,
        expected: int | None = None,
        lease: int | None = None,
    ) -> int:
        return await self._run(lambda: self.state.put(key, value, expected, lease))

    @override
    async def put_many(self, puts: Sequence[StorePut]) -> Sequence[int]:
        return await self._run(lambda: self.state.put_many(puts))

    @override
    async def delete(self, key: str, expected: int | None = None) -> None:
        await self._run(lambda: self.state.delete(key, expected))

    @override
    async def grant_lease(self, ttl_s: float) -> int:
        return await self._run(lambda: self.state.grant_lease(ttl_s, self.clock()))

    @override
    async def renew_lease(self, lease: int) -> None:
        await self._run(lambda: self.state.renew_lease(lease, self.clock()))

    @override
    async def revoke_lease(self, lease: int) -> None:
        await self._run(lambda: self.state.revoke_lease(lease))

    @override
    async def watch(
        self, prefix: str, after: int, limit_s: float | None = None
    ) -> WatchBatch:
        left_s = WATCH_LIMIT_S if limit_s is None else limit_s
        hang_count = self._hang_count
        while True:
            await asyncio.sleep(WATCH_STEP_S)
            left_s -= WATCH_STEP_S
            if hang_count != self._hang_count:
                await asyncio.sleep(left_s + ANSWER_TIMEOUT_S)
                raise StoreUnavailable("the watch was not answered in time")
            batch = await self._run(lambda: self._read_state.changes(prefix, after))
            if batch.changed or batch.deleted or left_s <= 0:
                return batch

    @override
    async def close(self) -> None:
        return

    async def _run(self, operation: Callable[[], T]) -> T:
        if self._faults.delay_s:
            await asyncio.sleep(self._faults.delay_s)
        if self._faults.down:
            raise StoreUnavailable("the store is down")
        self.state.expire(self.clock())
        result = operation()
        if self._faults.lose_answers:
            raise StoreUnavailable("the answer of the store was lost")
        return result
