"""Reads the platform's list over HTTP."""

from typing import TypedDict

import aiohttp
from typing_extensions import override

from magnoliaroad.decoding import Undecodable, decode_json
from magnoliaroad.membership.host_list import (
    HostList,
    HostListError,
    ListedState,
    PlatformList,
)


class ListBody(TypedDict, total=False):
    """JSON body of the answer; an absent key means an empty list."""

    hosts: dict[str, ListedState]
    targets: dict[str, ListedState]


class HttpHostList(HostList):
    """Reads the list as JSON with ``GET``.

    Args:
        url: URL of the list.
        timeout_s: Longest wait for an answer.
    """

    def __init__(self, url: str, timeout_s: float) -> None:
        self.url = url
        self._timeout = aiohttp.ClientTimeout(total=timeout_s)
        self._session: aiohttp.ClientSession | None = None

    @override
    async def read(self) -> PlatformList:
        if self._session is None:
            self._session = aiohttp.ClientSession(timeout=self._timeout)
        try:
            async with self._session.get(self.url) as resp:
                resp.raise_for_status()
                body = decode_json(await resp.read(), ListBody)
        except (aiohttp.ClientError, TimeoutError, Undecodable) as exc:
            raise HostListError(f"{self.url}: {exc!r}") from exc
        return PlatformList(**body)

    @override
    async def close(self) -> None:
        if self._session is not None:
            await self._session.close()
