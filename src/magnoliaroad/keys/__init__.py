"""Callers' keys: lookup of the team of a key, and withdrawal of keys."""

from magnoliaroad.keys.caller import Caller
from magnoliaroad.keys.digest import digest_key, new_key
from magnoliaroad.keys.service import KeyService
from magnoliaroad.keys.settings import KeySettings
from magnoliaroad.keys.withdrawals import Withdrawals, fingerprint

__all__ = [
    "Caller",
    "KeyService",
    "KeySettings",
    "Withdrawals",
    "digest_key",
    "fingerprint",
    "new_key",
]
