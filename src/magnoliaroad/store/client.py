"""Store client over HTTP with msgpack bodies."""

from typing import Any, NamedTuple

import aiohttp
import msgpack
from typing_extensions import override

from magnoliaroad.decoding import Undecodable, check_integer, unpack
from magnoliaroad.error_traces import forget_traces
from magnoliaroad.store.answer_reader import AnswerReader
from magnoliaroad.store.entry import StoreEntry
from magnoliaroad.store.errors import (
    LeaseLost,
    StoreConflict,
    StoreRateLimited,
    StoreUnavailable,
    UnusableAnswer,
)
from magnoliaroad.store.interface import Store
from magnoliaroad.store.settings import StoreSettings
from magnoliaroad.store.watch import WatchBatch
from magnoliaroad.targets.connector import TargetConnector

# Most of an entry but for its value, in bytes.
ENTRY_BYTES = 1024
# Most that a listing or the changes of a watch hold, in entries of the largest size.
LISTING_VALUES = 16


class HttpStore(Store):
    """Adapter for a key-value service with the HTTP API ``POST /v1/{operation}``."""

    def __init__(self, cfg: StoreSettings) -> None:
        self.cfg = cfg
        self._entry_bytes = cfg.max_value_bytes + ENTRY_BYTES
        self._reader = AnswerReader(LISTING_VALUES * self._entry_bytes)
        self._session: aiohttp.ClientSession | None = None

    @override
    async def get(self, key: str) -> StoreEntry | None:
        answer = await self._call("get", key=key)
        return answer.entry(key)

    @override
    async def list(self, prefix: str) -> WatchBatch:
        answer = await self._call("list", most=LISTING_VALUES, prefix=prefix)
        return answer.batch(prefix)

    @override
    async def put(
        self,
        key: str,
        value: bytes,
        expected: int | None = None,
        lease: int | None = None,
    ) -> int:
        answer = await self._call(
            "put", key=key, value=value, expected=expected, lease=lease
        )
        return answer.number()

    @override
    async def delete(self, key: str, expected: int | None = None) -> None:
        answer = await self._call("delete", key=key, expected=expected)
        answer.decode(None)

    @override
    async def grant_lease(self, ttl_s: float) -> int:
        answer = await self._call("grant_lease", ttl_s=ttl_s)
        return answer.number()

    @override
    async def renew_lease(self, lease: int) -> None:
        answer = await self._call("renew_lease", lease=lease)
        answer.decode(None)

    @override
    async def revoke_lease(self, lease: int) -> None:
        answer = await self._call("revoke_lease", lease=lease)
        answer.decode(None)

    @override
    async def watch(
        self, prefix: str, after: int, limit_s: float | None = None
    ) -> WatchBatch:
        timeout_s = limit_s or self.cfg.watch_timeout_s
        answer = await self._call(
            "watch",
            limit_s=timeout_s + self.cfg.timeout_s,
            most=LISTING_VALUES,
            prefix=prefix,
            after=after,
            timeout_s=timeout_s,
        )
        return answer.batch(prefix)

    @override
    async def close(self) -> None:
        if self._session is not None:
            await self._session.close()

    async def _call(
        self,
        operation: str,
        limit_s: float | None = None,
        most: int = 1,
        **fields: Any,
    ) -> "_Answer":
        """Returns the answer, whose body has at most the size of ``most`` entries."""
        if self._session is None:
            # A small compressed body may become a large one.
            self._session = aiohttp.ClientSession(
                connector=TargetConnector(),
                auto_decompress=False,
                headers={"Accept-Encoding": "identity"},
            )
        timeout = aiohttp.ClientTimeout(total=limit_s or self.cfg.timeout_s)
        url = f"{self.cfg.url}/v1/{operation}"
        body = msgpack.packb(fields)
        try:
            async with self._session.post(
                url, data=body, timeout=timeout, allow_redirects=False
            ) as resp:
                content = await self._reader.read(
                    operation, resp, most * self._entry_bytes
                )
                answer = _Answer(operation, resp.status, content)
        except (aiohttp.ClientError, TimeoutError, OSError) as exc:
            # The frames hold what was to be written.
            forget_traces(exc)
            raise StoreUnavailable(f"{operation}: {exc!r:.200}") from exc
        answer.check(fields.get("key", ""))
        return answer


class _Answer(NamedTuple):
    """The answer to a call, as it was received."""

    operation: str
    status: int
    body: bytearray

    def check(self, key: str) -> None:
        """Raises the error that the status stands for; ``key`` was to be changed."""
        if self.status == 429:
            raise StoreRateLimited("the store's rate limit was exceeded")
        if self.status == 410:
            raise LeaseLost("the lease has expired or does not exist")
        if self.status == 409:
            raise StoreConflict(key, self.entry(key))
        if self.status != 200:
            raise StoreUnavailable(f"the store returned HTTP status {self.status}")

    def decode(self, kind: Any) -> Any:
        """Returns the body as ``kind``.

        Raises:
            UnusableAnswer: It is no ``kind``.
        """
        try:
            return unpack(self.body, kind)
        except Undecodable as exc:
            raise UnusableAnswer(self.operation, str(exc)) from exc

    def number(self) -> int:
        """Returns the body as a revision or the id of a lease."""
        value = self.decode(int)
        self._check_number(value)
        return value

    def entry(self, key: str) -> StoreEntry | None:
        """Returns the body as the entry of ``key``."""
        entry = self.decode(StoreEntry | None)
        if entry is not None:
            self._check_number(entry.revision)
            if entry.key != key:
                raise UnusableAnswer(self.operation, "key: not the one asked for")
        return entry

    def batch(self, prefix: str) -> WatchBatch:
        """Returns the body as entries and changes under ``prefix``."""
        batch = self.decode(WatchBatch)
        for number in (batch.revision, *(entry.revision for entry in batch.changed)):
            self._check_number(number)
        keys = (*batch.deleted, *(entry.key for entry in batch.changed))
        if not all(key.startswith(prefix) for key in keys):
            raise UnusableAnswer(self.operation, "key: not one that was asked for")
        return batch

    def _check_number(self, value: int) -> None:
        try:
            check_integer("number", value)
        except Undecodable as exc:
            raise UnusableAnswer(self.operation, str(exc)) from exc
