"""Store wrapper that counts calls and reports failures."""

import asyncio
import functools
import re
from collections.abc import Awaitable, Callable, Sequence
from typing import TypeVar

from loguru import logger
from typing_extensions import override

from magnoliaroad.metrics import Counter
from magnoliaroad.store.entry import StoreEntry, StorePut
from magnoliaroad.store.errors import (
    StoreRateLimited,
    StoreUnavailable,
    UnusableAnswer,
)
from magnoliaroad.store.interface import Store
from magnoliaroad.store.watch import WatchBatch

CALLS = Counter("store_calls_total", "Calls on the store, by call and outcome.")
CALLS_BY_CAUSE = Counter(
    "store_calls_by_cause_total",
    "Calls on the store, by call and the first part of the keys.",
)
# Cause of calls on leases, which concern no key.
LEASES = "leases"
# Number of kinds of unusable answers that are remembered as logged.
MAX_REMEMBERED_KINDS = 64

T = TypeVar("T")


class ObservedStore(Store):
    """Forwards calls to another store, counts them and reports failures.

    Args:
        store: The store that calls are forwarded to.

    Attributes:
        on_failure: Callback that runs when a call is rate-limited, gets no response
            or is cancelled.
    """

    def __init__(self, store: Store) -> None:
        self.on_failure: Callable[[], None] = lambda: None
        self._store = store

    @override
    async def get(self, key: str) -> StoreEntry | None:
        return await self._observe("get", key, self._store.get(key))

    @override
    async def ping(self, key: str) -> None:
        await self._observe("ping", key, self._store.ping(key))

    @override
    async def list(self, prefix: str) -> WatchBatch:
        return await self._observe("list", prefix, self._store.list(prefix))

    @override
    async def put(
        self,
        key: str,
        value: bytes,
        expected: int | None = None,
        lease: int | None = None,
    ) -> int:
        return await self._observe(
            "put", key, self._store.put(key, value, expected, lease)
        )

    @override
    async def put_many(self, puts: Sequence[StorePut]) -> Sequence[int]:
        return await self._observe("put_many", puts[0].key, self._store.put_many(puts))

    @override
    async def delete(self, key: str, expected: int | None = None) -> None:
        await self._observe("delete", key, self._store.delete(key, expected))

    @override
    async def grant_lease(self, ttl_s: float) -> int:
        return await self._observe(
            "grant_lease", LEASES, self._store.grant_lease(ttl_s)
        )

    @override
    async def renew_lease(self, lease: int) -> None:
        await self._observe("renew_lease", LEASES, self._store.renew_lease(lease))

    @override
    async def revoke_lease(self, lease: int) -> None:
        await self._observe("revoke_lease", LEASES, self._store.revoke_lease(lease))

    @override
    async def watch(
        self, prefix: str, after: int, limit_s: float | None = None
    ) -> WatchBatch:
        call = self._store.watch(prefix, after, limit_s)
        return await self._observe("watch", prefix, call)

    @override
    async def close(self) -> None:
        await self._store.close()

    async def _observe(self, name: str, key: str, call: Awaitable[T]) -> T:
        outcome = "answered"
        try:
            return await call
        except (StoreUnavailable, StoreRateLimited) as exc:
            outcome = type(exc).__name__
            if isinstance(exc, UnusableAnswer):
                # Without positions, so that a kind of answer is logged once.
                _log_unusable(name, re.sub(r"\d+", "N", exc.reason))
            self.on_failure()
            raise
        except asyncio.CancelledError:
            # The caller's timeout is shorter than the adapter's.
            outcome = "given up"
            self.on_failure()
            raise
        finally:
            CALLS.inc({"call": name, "outcome": outcome})
            cause = key.partition("/")[0]
            CALLS_BY_CAUSE.inc({"call": name, "cause": cause})


@functools.lru_cache(maxsize=MAX_REMEMBERED_KINDS)
def _log_unusable(call: str, reason: str) -> None:
    logger.bind(call=call, reason=reason).warning("answer of the store not usable")
