"""Writes the accepted head back to a store that has lost it."""

import asyncio

from loguru import logger

from magnoliaroad.batched import batched
from magnoliaroad.config.head import HEAD_KEY, ConfigHead, pack_head, unpack_head
from magnoliaroad.config.replica import ConfigReplica
from magnoliaroad.store import Store, StoreEntry

MAX_CONCURRENT_PARTS = 8


async def restore_head(
    store: Store, replica: ConfigReplica, entry: StoreEntry | None
) -> bool:
    """Writes the head of ``replica`` over the older one that the store answered.

    The write expects the revision that was read, so it fails where the store only
    answered with stale data, and takes effect where the store was set back.

    Args:
        store: The store.
        replica: The newest configuration that this host knows.
        entry: The store's entry of the head.

    Raises:
        StoreError: The store was not behind, or did not take the write.
    """
    local = replica.head
    stored = _unpack_entry(entry)
    if stored.revision and not is_ancestor(stored, local):
        logger.bind(store=stored.revision, host=local.revision).error(
            "the store holds another history; apply the sheet with --above"
        )
        return False
    expected = 0 if entry is None else entry.revision
    await _write_parts(store, replica, stored)
    await store.put(HEAD_KEY, pack_head(local), expected=expected)
    return True


def is_up_to_date(entry: StoreEntry | None, head: ConfigHead) -> bool:
    """Whether ``entry`` holds ``head``, a newer one, or one that is unreadable."""
    try:
        return _unpack_entry(entry).revision >= head.revision
    except ValueError:
        return True


def is_ancestor(old: ConfigHead, new: ConfigHead) -> bool:
    """Whether ``new`` came from ``old``, as far as the kept history tells."""
    if not new.changes or new.changes[0].revision > old.revision:
        return True
    return new.has(old.operation)


def _unpack_entry(entry: StoreEntry | None) -> ConfigHead:
    return ConfigHead() if entry is None else unpack_head(entry.value)


async def _write_parts(
    store: Store, replica: ConfigReplica, stored: ConfigHead
) -> None:
    stored_parts = set(stored.parts)
    refs = [ref for ref in replica.head.parts if ref not in stored_parts]
    for batch in batched(refs, MAX_CONCURRENT_PARTS):
        data = replica.parts(ref.digest for ref in batch)
        pairs = zip(batch, data, strict=True)
        await asyncio.gather(*(store.put(ref.key, part) for ref, part in pairs))
