"""Writes the accepted head back to a store that has lost it, as after a rollback."""

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
    """Replaces the older head in the store by the head of ``replica``.

    The compare-and-swap expects the store revision that was read. It fails if the
    store only returned stale data, and succeeds if the store was rolled back.

    Args:
        store: The store.
        replica: Holds the newest complete configuration of this host.
        entry: Head entry that was read from the store; ``None`` when it had none.

    Returns:
        Whether the head was written. It is not written if the store's head is not an
        ancestor of the local one, which an operator has to resolve.

    Raises:
        StoreError: The store's head was not outdated, or the write failed.
        ValueError: ``entry`` does not hold a head.
    """
    local = replica.head
    stored = _unpack_entry(entry)
    if stored.revision and not is_ancestor(stored, local):
        logger.bind(store=stored.revision, host=local.revision).error(
            "the store has a diverged history; apply the sheet with --above"
        )
        return False
    expected = 0 if entry is None else entry.revision
    await _write_parts(store, replica, stored)
    await store.put(HEAD_KEY, pack_head(local), expected=expected)
    return True


def is_up_to_date(entry: StoreEntry | None, head: ConfigHead) -> bool:
    """Whether ``entry`` has ``head`` or a newer one; true if it is unreadable."""
    try:
        return _unpack_entry(entry).revision >= head.revision
    except ValueError:
        return True


def is_ancestor(old: ConfigHead, new: ConfigHead) -> bool:
    """Whether ``new`` descends from ``old``.

    The history lists only the last changes; if it does not reach back to ``old``,
    ``old`` counts as an ancestor.
    """
    if not new.changes or new.changes[0].revision > old.revision:
        return True
    return new.has_operation(old.operation)


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
