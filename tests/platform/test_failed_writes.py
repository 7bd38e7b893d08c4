"""Writes that fail since the store is away.

Guards against hosts that the platform ends for their memory during an outage of the
store: what was to be written lives on in reference cycles (FAULT).
"""

import gc

import aiohttp
import pytest
from magnoliaroad_platform.store import PlatformStore

from magnoliaroad.store import StoreUnavailable
from magnoliaroad.store.client import HttpStore
from magnoliaroad.store.settings import StoreSettings
from tests.platform.deployment import free_address

WRITES = 20
VALUE = b"x" * 400_000


@pytest.fixture
def uncollected():
    gc.collect()
    gc.disable()
    yield
    gc.enable()


@pytest.mark.parametrize("kind", [PlatformStore, HttpStore])
async def test_nothing_is_held_of_writes_that_fail(uncollected, kind):
    store = kind(StoreSettings(f"http://{free_address()}"))
    for _ in range(WRITES):
        with pytest.raises(StoreUnavailable):
            await store.put("key", VALUE)
    held = [body for body in gc.get_objects() if isinstance(body, aiohttp.BytesPayload)]
    await store.close()
    assert len(held) <= 1
