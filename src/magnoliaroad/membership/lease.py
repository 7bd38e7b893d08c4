"""This host's record in the store, kept by a lease."""

import asyncio

from magnoliaroad.membership.metrics import LEASE, STORE_CALLS
from magnoliaroad.membership.record import HOSTS_PREFIX, HostRecord, pack_record
from magnoliaroad.membership.settings import MembershipSettings
from magnoliaroad.store import LeaseLost, Store


class HostLease:
    """Keeps a host's record in the store by renewing a lease on it."""

    def __init__(self, cfg: MembershipSettings, store: Store) -> None:
        self.cfg = cfg
        self._store = store
        self._lease: int | None = None
        self._written: HostRecord | None = None
        self._next_refresh_at = float("-inf")

    def is_due(self) -> bool:
        """Whether the lease is due for renewal."""
        return _now() >= self._next_refresh_at

    async def refresh(self, record: HostRecord, hosts: int) -> None:
        """Renews the lease; writes ``record`` if it changed or a new lease is needed.

        Args:
            record: Record of this host.
            hosts: Number of hosts in the fleet.

        Raises:
            StoreError: The store did not answer.
        """
        refresh_s = self.cfg.refresh_s(hosts)
        self._next_refresh_at = _now() + min(refresh_s, self.cfg.refresh_interval_s)
        LEASE.set({}, 0)
        if self._lease is None or record != self._written:
            await self._write_record(record, hosts)
        else:
            await self._renew(record, hosts)
        LEASE.set({}, 1)
        self._next_refresh_at = _now() + refresh_s

    async def revoke(self) -> None:
        """Revokes the lease; raises ``StoreError`` when the store does not answer."""
        if self._lease is not None:
            lease, self._lease = self._lease, None
            await self._store.revoke_lease(lease)

    async def _write_record(self, record: HostRecord, hosts: int) -> None:
        if self._lease is None:
            STORE_CALLS.inc({"type": "grant_lease"})
            self._lease = await self._store.grant_lease(self.cfg.time_to_live_s(hosts))
        STORE_CALLS.inc({"type": "put"})
        key = HOSTS_PREFIX + record.host
        try:
            await self._store.put(key, pack_record(record), lease=self._lease)
        except LeaseLost:
            self._lease = None
            raise
        self._written = record

    async def _renew(self, record: HostRecord, hosts: int) -> None:
        assert self._lease is not None
        STORE_CALLS.inc({"type": "renew_lease"})
        try:
            await self._store.renew_lease(self._lease)
        except LeaseLost:
            self._lease = None
            await self._write_record(record, hosts)


def _now() -> float:
    return asyncio.get_running_loop().time()
