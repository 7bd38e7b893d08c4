"""Lists the live hosts and asks them which revision they serve."""

import asyncio
from collections.abc import Iterable
from typing import NamedTuple

import aiohttp

from magnoliaroad.decoding import decode_entries
from magnoliaroad.membership.record import HOSTS_PREFIX, HostRecord, unpack_record
from magnoliaroad.store import Store

MAX_CONCURRENT_REQUESTS = 32
RESPONSE_TIMEOUT_S = 1.0


class HostState(NamedTuple):
    """The state that a host reported.

    Attributes:
        record: The host's record in the store.
        revision: Revision in force; ``None`` if the host did not answer.
        draining: Whether the host is shutting down.
        error: Why the host did not answer; empty if it did.
    """

    record: HostRecord
    revision: int | None = None
    draining: bool = False
    error: str = ""

    def serves(self, revision: int) -> bool:
        """Whether ``revision`` or a later one is in force."""
        return self.revision is not None and self.revision >= revision


async def list_hosts(store: Store) -> list[HostRecord]:
    """Returns the hosts with a lease in the store, sorted by data centre and name.

    Raises:
        StoreError: The store did not answer.
    """
    batch = await store.list(HOSTS_PREFIX)
    records = decode_entries(batch.changed, unpack_record)
    return sorted(records, key=lambda record: (record.data_centre, record.host))


async def ask_hosts(records: Iterable[HostRecord]) -> list[HostState]:
    """Returns the state of each host, in the order of ``records``."""
    timeout = aiohttp.ClientTimeout(total=RESPONSE_TIMEOUT_S)
    slots = asyncio.Semaphore(MAX_CONCURRENT_REQUESTS)
    async with aiohttp.ClientSession(timeout=timeout) as session:

        async def ask(record: HostRecord) -> HostState:
            async with slots:
                return await _ask_host(session, record)

        return await asyncio.gather(*map(ask, records))


async def _ask_host(session: aiohttp.ClientSession, record: HostRecord) -> HostState:
    url = f"http://{record.address}:{record.http_port}/ready"
    try:
        async with session.get(url) as resp:
            body = await resp.json()
            return HostState(record, int(body["revision"]), bool(body["draining"]))
    except (aiohttp.ClientError, TimeoutError, ValueError, KeyError) as exc:
        return HostState(record, error=repr(exc))
