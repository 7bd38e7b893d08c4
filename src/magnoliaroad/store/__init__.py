"""Client interface of the platform's key-value service."""

from magnoliaroad.store.entry import StoreEntry, StorePut
from magnoliaroad.store.errors import (
    HistoryGone,
    LeaseLost,
    StoreConflict,
    StoreError,
    StoreRateLimited,
    StoreRejected,
    StoreUnavailable,
    UnusableAnswer,
)
from magnoliaroad.store.follower import PrefixFollower
from magnoliaroad.store.interface import Store
from magnoliaroad.store.watch import WatchBatch

__all__ = [
    "HistoryGone",
    "LeaseLost",
    "PrefixFollower",
    "Store",
    "StoreConflict",
    "StoreEntry",
    "StoreError",
    "StorePut",
    "StoreRateLimited",
    "StoreRejected",
    "StoreUnavailable",
    "UnusableAnswer",
    "WatchBatch",
]
