"""In-memory state of the key-value stand-ins.

Calls that depend on the time take it as an argument.
"""

import itertools
from collections.abc import Sequence

from magnoliaroad.store import (
    LeaseLost,
    StoreConflict,
    StoreEntry,
    StorePut,
    StoreRejected,
    WatchBatch,
)
from magnoliaroad.store.interface import MAX_KEY_BYTES, MAX_LEASE_S

MAX_VALUE_BYTES = 1_048_576


class KvState:
    """Entries, leases and the change history that watches read."""

    def __init__(self) -> None:
        self.revision = 0
        self.entries: dict[str, StoreEntry] = {}
        self._history: list[tuple[int, str]] = []
        self._ttl_s: dict[int, float] = {}
        self._deadline: dict[int, float] = {}
        self._lease_of: dict[str, int] = {}
        self._next_lease = itertools.count(1)

    def get(self, key: str) -> StoreEntry | None:
        """Returns the entry of ``key``, or ``None`` if there is none."""
        return self.entries.get(key)

    def list(self, prefix: str) -> WatchBatch:
        """Returns the entries under ``prefix``."""
        found = [e for key, e in self.entries.items() if key.startswith(prefix)]
        return WatchBatch(tuple(found), (), self.revision)

    def put(
        self,
        key: str,
        value: bytes,
        expected: int | None = None,
        lease: int | None = None,
    ) -> int:
        """Writes ``key``; see ``Store.put``.

        Raises:
            StoreRejected: The key or the value is too large.
        """
        _check_size(key, value)
        self._check(key, expected)
        if lease is not None and lease not in self._deadline:
            raise LeaseLost(f"lease {lease} has expired or was revoked")
        self._lease_of.pop(key, None)
        if lease is not None:
            self._lease_of[key] = lease
        self._record(key)
        self.entries[key] = StoreEntry(key, value, self.revision)
        return self.revision

    def put_many(self, puts: Sequence[StorePut]) -> Sequence[int]:
        """Writes all of ``puts``, or none if an expected revision does not match."""
        for put in puts:
            _check_size(put.key, put.value)
        try:
            for put in puts:
                self._check(put.key, put.expected)
        except StoreConflict as exc:
            checked = {put.key for put in puts if put.expected is not None}
            exc.entries = [e for key, e in self.entries.items() if key in checked]
            raise
        return [self.put(p.key, p.value, p.expected, p.lease) for p in puts]

    def delete(self, key: str, expected: int | None = None) -> None:
        """Deletes ``key``; see ``Store.delete``."""
        self._check(key, expected)
        if self.entries.pop(key, None) is not None:
            self._lease_of.pop(key, None)
            self._record(key)

    def grant_lease(self, ttl_s: float, now: float) -> int:
        """Creates a lease and returns its id.

        Raises:
            StoreRejected: ``ttl_s`` is longer than the store grants.
        """
        if ttl_s > MAX_LEASE_S:
            raise StoreRejected(f"lease of {ttl_s} s")
        lease = next(self._next_lease)
        self._ttl_s[lease] = ttl_s
        self._deadline[lease] = now + ttl_s
        return lease

    def renew_lease(self, lease: int, now: float) -> None:
        """Extends ``lease`` to its full time to live from ``now``."""
        if lease not in self._deadline:
            raise LeaseLost(f"lease {lease} has expired or was revoked")
        self._deadline[lease] = now + self._ttl_s[lease]

    def revoke_lease(self, lease: int) -> None:
        """Ends ``lease`` and deletes the entries attached to it."""
        self._ttl_s.pop(lease, None)
        if self._deadline.pop(lease, None) is None:
            return
        for key in [k for k, owner in self._lease_of.items() if owner == lease]:
            self.delete(key)

    def expire(self, now: float) -> None:
        """Revokes all leases that have expired by ``now``."""
        for lease in [n for n, end in self._deadline.items() if end <= now]:
            self.revoke_lease(lease)

    def changes(self, prefix: str, after: int) -> WatchBatch:
        """Returns the changes under ``prefix`` after revision ``after``."""
        keys = {k for rev, k in self._history if rev > after and k.startswith(prefix)}
        changed = [self.entries[k] for k in keys if k in self.entries]
        deleted = [k for k in keys if k not in self.entries]
        return WatchBatch(tuple(changed), tuple(deleted), self.revision)

    def _check(self, key: str, expected: int | None) -> None:
        current = self.entries.get(key)
        revision = 0 if current is None else current.revision
        if expected is not None and expected != revision:
            raise StoreConflict(key, current)

    def _record(self, key: str) -> None:
        self.revision += 1
        self._history.append((self.revision, key))


def _check_size(key: str, value: bytes) -> None:
    if len(key.encode()) > MAX_KEY_BYTES:
        raise StoreRejected(f"key of more than {MAX_KEY_BYTES} bytes: {key!r}")
    if len(value) > MAX_VALUE_BYTES:
        raise StoreRejected(f"{key!r}: {len(value)} bytes exceed {MAX_VALUE_BYTES}")
