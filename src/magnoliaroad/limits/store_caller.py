"""Executes the store calls of the share protocol."""

from magnoliaroad.limits.store_call import StoreCall, StoreOperation, StoreOutcome
from magnoliaroad.store import Store, StoreConflict, StoreError


async def execute_call(store: Store, call: StoreCall) -> StoreOutcome | None:
    """Makes ``call``; returns ``None`` when its outcome is unknown."""
    try:
        if call.operation is StoreOperation.LIST:
            batch = await store.list(call.key)
            return StoreOutcome(entries=batch.changed)
        expected = 0 if call.operation is StoreOperation.CREATE else call.expected
        revision = await store.put(call.key, call.value, expected=expected)
    except StoreConflict as exc:
        return StoreOutcome(entries=(exc.current,) if exc.current else ())
    except StoreError:
        return None
    return StoreOutcome(written=True, revision=revision)
