"""Store client over HTTP with msgpack bodies."""

from typing import Any

import aiohttp
import msgpack
import msgspec
from typing_extensions import override

from magnoliaroad.decoding import Undecodable, unpack
from magnoliaroad.error_traces import forget_traces
from magnoliaroad.store.entry import StoreEntry
from magnoliaroad.store.errors import (
    LeaseLost,
    StoreConflict,
    StoreRateLimited,
    StoreUnavailable,
)
from magnoliaroad.store.interface import Store
from magnoliaroad.store.settings import StoreSettings
from magnoliaroad.store.watch import WatchBatch


class HttpStore(Store):
    """Adapter for a key-value service with the HTTP API ``POST /v1/{operation}``."""

    def __init__(self, cfg: StoreSettings) -> None:
        self.cfg = cfg
        self._session: aiohttp.ClientSession | None = None

    @override
    async def get(self, key: str) -> StoreEntry | None:
        fields = await self._call("get", key=key)
        return None if fields is None else StoreEntry(*fields)

    @override
    async def list(self, prefix: str) -> WatchBatch:
        return _decode_batch(await self._call("list", prefix=prefix))

    @override
    async def put(
        self,
        key: str,
        value: bytes,
        expected: int | None = None,
        lease: int | None = None,
    ) -> int:
        return await self._call(
            "put", key=key, value=value, expected=expected, lease=lease
        )

    @override
    async def delete(self, key: str, expected: int | None = None) -> None:
        await self._call("delete", key=key, expected=expected)

    @override
    async def grant_lease(self, ttl_s: float) -> int:
        return await self._call("grant_lease", ttl_s=ttl_s)

    @override
    async def renew_lease(self, lease: int) -> None:
        await self._call("renew_lease", lease=lease)

    @override
    async def revoke_lease(self, lease: int) -> None:
        await self._call("revoke_lease", lease=lease)

    @override
    async def watch(
        self, prefix: str, after: int, limit_s: float | None = None
    ) -> WatchBatch:
        timeout_s = limit_s or self.cfg.watch_timeout_s
        batch = await self._call(
            "watch",
            limit_s=timeout_s + self.cfg.timeout_s,
            prefix=prefix,
            after=after,
            timeout_s=timeout_s,
        )
        return _decode_batch(batch)

    @override
    async def close(self) -> None:
        if self._session is not None:
            await self._session.close()

    async def _call(
        self, operation: str, limit_s: float | None = None, **fields: Any
    ) -> Any:
        if self._session is None:
            self._session = aiohttp.ClientSession()
        timeout = aiohttp.ClientTimeout(total=limit_s or self.cfg.timeout_s)
        url = f"{self.cfg.url}/v1/{operation}"
        body = msgpack.packb(fields)
        try:
            async with self._session.post(url, data=body, timeout=timeout) as resp:
                content = await resp.read()
                status = resp.status
        except (aiohttp.ClientError, TimeoutError) as exc:
            # The frames hold what was to be written.
            forget_traces(exc)
            raise StoreUnavailable(f"{operation}: {exc!r}") from exc
        return _decode_response(fields.get("key", ""), status, content)


def _decode_response(key: str, status: int, body: bytes) -> Any:
    if status == 429:
        raise StoreRateLimited("the store's rate limit was exceeded")
    if status == 410:
        raise LeaseLost("the lease has expired or does not exist")
    if status == 409:
        current = _unpack(body, StoreEntry | None)
        raise StoreConflict(key, current)
    if status != 200:
        raise StoreUnavailable(f"the store returned HTTP status {status}")
    return _unpack(body)


def _unpack(body: bytes, kind: Any = Any) -> Any:
    try:
        return unpack(body, kind)
    except Undecodable as exc:
        raise StoreUnavailable(f"answer of the store: {exc}") from exc


def _decode_batch(fields: Any) -> WatchBatch:
    try:
        return msgspec.convert(fields, WatchBatch)
    except msgspec.ValidationError as exc:
        raise StoreUnavailable(f"answer of the store: {exc}") from exc
