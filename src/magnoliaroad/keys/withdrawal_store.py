"""Reads and writes the withdrawn keys in the store, one entry for each shard."""

from magnoliaroad.decoding import decode_entries
from magnoliaroad.keys.withdrawals import (
    SHARDS,
    Withdrawals,
    pack_shard,
    shard_of,
    unpack_shard,
)
from magnoliaroad.store import Store, StoreConflict, StoreEntry

WITHDRAWN_PREFIX = "keys/withdrawn/"
MAX_ATTEMPTS = 5


def shard_key(number: int) -> str:
    """Returns the store key of shard ``number``."""
    return f"{WITHDRAWN_PREFIX}{number:02d}"


async def read_withdrawals(store: Store) -> Withdrawals:
    """Returns the withdrawn keys in the store.

    Raises:
        StoreError: The store did not answer.
    """
    batch = await store.list(WITHDRAWN_PREFIX)
    withdrawn = Withdrawals()
    for shard in decode_entries(batch.changed, unpack_shard):
        withdrawn.merge(shard)
    return withdrawn


async def write_missing(store: Store, local: Withdrawals, stored: Withdrawals) -> int:
    """Adds the fingerprints missing in ``stored`` to the store; returns how many.

    Raises:
        StoreError: A write failed, or its outcome is unknown; the call may be
            repeated, as it is idempotent.
    """
    written = 0
    for number in range(SHARDS):
        missing = local.shard(number) - stored.shard(number)
        if missing:
            await add_to_shard(store, number, missing)
            written += len(missing)
    return written


async def add_withdrawal(store: Store, item: bytes) -> None:
    """Adds one fingerprint to the store; idempotent.

    Raises:
        StoreError: The write failed, or its outcome is unknown.
    """
    await add_to_shard(store, shard_of(item), frozenset((item,)))


async def add_to_shard(store: Store, number: int, items: frozenset[bytes]) -> None:
    """Adds ``items`` to one shard by compare-and-swap.

    Raises:
        StoreError: The write failed, or its outcome is unknown.
    """
    entry = await store.get(shard_key(number))
    for attempt in range(MAX_ATTEMPTS):
        kept = frozenset(unpack_shard(entry.value)) if entry else frozenset()
        if items <= kept:
            return
        try:
            await _put(store, number, kept | items, entry)
            return
        except StoreConflict as exc:
            if attempt == MAX_ATTEMPTS - 1:
                raise
            entry = exc.current


async def _put(
    store: Store, number: int, items: frozenset[bytes], entry: StoreEntry | None
) -> None:
    expected = 0 if entry is None else entry.revision
    await store.put(shard_key(number), pack_shard(items), expected=expected)
