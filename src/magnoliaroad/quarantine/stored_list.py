"""Reads, watches and updates the quarantine decisions in the store."""

import asyncio
from collections.abc import Callable, Iterable

from loguru import logger
from mode import Service

from magnoliaroad.background import background_task
from magnoliaroad.quarantine.blocklist import (
    Blocklist,
    pack_entries,
    unpack_entries,
)
from magnoliaroad.quarantine.entry import QuarantineEntry
from magnoliaroad.store import PrefixFollower, Store, StoreConflict, StoreError

PREFIX = "quarantine/"
LIST_KEY = PREFIX + "list"
# Pause after a failed call on the store, in seconds.
RETRY_S = 1.0
# Most attempts to save entries while others change the list.
MAX_SAVE_ATTEMPTS = 10


class BlocklistWatcher(Service):
    """Watches the list in the store and passes on its entries.

    Args:
        store: The store.
        watch_s: Maximum duration of one watch, in seconds.
        on_entries: Called with the entries of each version of the list.
    """

    def __init__(
        self,
        store: Store,
        watch_s: float,
        on_entries: Callable[[list[QuarantineEntry]], object],
    ) -> None:
        super().__init__()
        self._store = store
        self._watch_s = watch_s
        self._on_entries = on_entries

    @background_task
    async def _watch(self) -> None:
        follower = PrefixFollower(self._store, LIST_KEY, self._watch_s)
        while not self.should_stop:
            try:
                batch = await follower.next_changes()
            except StoreError:
                await self.sleep(RETRY_S)
                continue
            for entry in batch.changed:
                deliver_stored_list(entry.value, self._on_entries)


def deliver_stored_list(
    value: bytes, on_entries: Callable[[list[QuarantineEntry]], object]
) -> None:
    """Decodes a stored list and calls ``on_entries``; logs undecodable values."""
    try:
        entries = unpack_entries(value)
    except ValueError as exc:
        logger.bind(key=LIST_KEY, reason=str(exc)).error("quarantine cannot be read")
        return
    on_entries(entries)


async def read_blocklist(store: Store) -> tuple[Blocklist, int]:
    """Returns the stored list and its revision; an empty list and 0 if absent.

    Raises:
        StoreError: The store did not answer.
        ValueError: The stored list cannot be decoded.
    """
    entry = await store.get(LIST_KEY)
    if entry is None:
        return Blocklist(), 0
    return Blocklist(unpack_entries(entry.value)), entry.revision


async def save_entries(
    store: Store, entries: Iterable[QuarantineEntry], now: float
) -> Blocklist:
    """Merges ``entries`` into the store's list and returns the result.

    Raises:
        StoreError: The write failed or its outcome is unknown. Saving the same
            entries again is safe.
        ValueError: The stored list cannot be decoded.
    """
    entries = list(entries)
    attempts_left = MAX_SAVE_ATTEMPTS
    while True:
        blocklist, revision = await read_blocklist(store)
        blocklist.merge(entries)
        blocklist.expire(now)
        try:
            value = pack_entries(blocklist.all())
            await store.put(LIST_KEY, value, expected=revision)
            return blocklist
        except StoreConflict:
            attempts_left -= 1
            if not attempts_left:
                raise
            await asyncio.sleep(0)
