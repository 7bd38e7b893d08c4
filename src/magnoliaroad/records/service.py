"""Record host: keeps records on disk until the store holds them."""

import asyncio
import pathlib
import time
from collections.abc import Callable

from loguru import logger
from mode import Service

from magnoliaroad.background import background_task
from magnoliaroad.peers import Peers
from magnoliaroad.records.journal import Journal, JournalRecord
from magnoliaroad.records.lru_cache import LruCache
from magnoliaroad.records.messages import (
    FetchRecord,
    FetchRecordReply,
    KeepRecord,
    KeepRecordReply,
    RecordsStored,
)
from magnoliaroad.records.metrics import REFUSED
from magnoliaroad.records.pending import PendingRecord, PendingRecords
from magnoliaroad.records.settings import RecordSettings
from magnoliaroad.store import (
    LeaseLost,
    Store,
    StoreError,
    StorePut,
    StoreRejected,
)
from magnoliaroad.store.leases import LeasePool

# Interval between checks for records that are due, in seconds.
CHECK_INTERVAL_S = 0.1
# Pause after a failed call on the store, in seconds.
RETRY_S = 0.2
# Delay after which a record that failed unexpectedly is written again, in seconds.
POSTPONE_S = 5.0
# Most keys of a batch in a log line.
MAX_LOGGED_KEYS = 3


class RecordService(Service):
    """Serves relay hosts and writes records to the store in batches.

    Args:
        cfg: Sizes and delays.
        folder: Folder of the journal.
        store: The store.
        peers: Connections between hosts.
        now: Clock in seconds.

    Attributes:
        accepts: Whether new records are accepted.
    """

    def __init__(
        self,
        cfg: RecordSettings,
        folder: pathlib.Path,
        store: Store,
        peers: Peers,
        now: Callable[[], float] = time.monotonic,
    ) -> None:
        super().__init__()
        self.cfg = cfg
        self.accepts = True
        self._journal = Journal(folder, cfg.segment_bytes)
        self._now = now
        self._store = store
        self._leases = LeasePool(store, now)
        self._peers = peers
        self._pending = PendingRecords(cfg)
        self._cache: LruCache[bytes] = LruCache(cfg.held_bytes, len)
        self._unsynced: list[tuple[KeepRecord, asyncio.Future[bool]]] = []
        self._sync_requested = asyncio.Event()
        self._store_lock = asyncio.Lock()
        peers.on(KeepRecord, self._on_keep, KeepRecordReply)
        peers.on(FetchRecord, self._on_fetch, FetchRecordReply)
        peers.on(RecordsStored, self._on_stored)

    async def on_start(self) -> None:
        """Recovers the records that an earlier run left on disk."""
        recovered = self._journal.recover()
        # It is not known which of them the store holds; writing them again is safe.
        for record in recovered:
            self._pending.add(self._now() - self.cfg.store_after_s, record, (), True)
        logger.bind(records=len(recovered), bytes=self._pending.size_bytes).info(
            "journal recovered"
        )

    async def on_stop(self) -> None:
        """Closes the journal."""
        self._journal.close()

    @property
    def ready(self) -> bool:
        """Whether new records are accepted and can be synced to disk now."""
        return self.accepts and not self._sync.is_down(self)

    @property
    def unstored_count(self) -> int:
        """Number of records that are still to be written to the store."""
        return len(self._pending)

    @property
    def stored_all(self) -> bool:
        """Whether the store holds all records and no more are accepted."""
        missing = self.unstored_count + self._pending.refused_count
        return not self.accepts and not missing

    def set_host_count(self, hosts: int) -> None:
        """Sets the number of record hosts; with more hosts each writes less often."""
        self._pending.delay_s = self.cfg.delay_s(hosts)

    @property
    def pending_bytes(self) -> int:
        """Size of the records that the store may not hold yet."""
        return self._pending.size_bytes

    async def flush(self) -> bool:
        """Stops accepting records and writes all of them to the store.

        Returns:
            Whether the store holds all of them that it accepts.
        """
        self.accepts = False
        self._sync_all()
        while len(self._pending):
            if not await self._store_batch(everything=True):
                return False
        return True

    @background_task
    async def _sync(self) -> None:
        while not self.should_stop:
            await self._sync_requested.wait()
            self._sync_requested.clear()
            self._sync_all()

    def _sync_all(self) -> None:
        batch, self._unsynced = self._unsynced, []
        if not batch:
            return
        synced = False
        try:
            self._append([req for req, _ in batch])
            synced = True
        except OSError as exc:
            logger.bind(records=len(batch), reason=str(exc)).error(
                "journal not written"
            )
        except Exception as exc:
            # The senders of these records have them kept elsewhere.
            logger.bind(records=len(batch)).opt(exception=exc).error(
                "journal not written"
            )
        for _, fut in batch:
            if not fut.done():
                fut.set_result(synced)

    def _append(self, reqs: list[KeepRecord]) -> None:
        records = [JournalRecord(req.key, req.value, req.ttl_s) for req in reqs]
        self._journal.append(records)
        now = self._now()
        for req, record in zip(reqs, records, strict=True):
            self._pending.add(now, record, req.partners, req.writes_first)

    @background_task
    async def _store_due(self) -> None:
        while not self.should_stop:
            await asyncio.sleep(CHECK_INTERVAL_S)
            for key in self._pending.expired(self._now()):
                self._pending.pop(key)
                self._journal.mark_stored(key)
            if not await self._store_batch():
                await asyncio.sleep(RETRY_S)

    async def _store_batch(self, everything: bool = False) -> bool:
        """Writes the next batch; returns whether this succeeded."""
        async with self._store_lock:
            batch = self._pending.next_batch(self._now(), everything)
            return not batch or await self._write(batch)

    async def _write(self, batch: list[PendingRecord]) -> bool:
        """Writes a batch; returns whether none of it is left to be written."""
        try:
            return await self._put(batch)
        except Exception as exc:
            keys = [pending.record.key for pending in batch[:MAX_LOGGED_KEYS]]
            logger.bind(records=len(batch), keys=keys, postponed=len(batch) == 1).opt(
                exception=exc
            ).error("records not written")
        if len(batch) > 1:
            return await self._write_each(batch)
        self._pending.postpone(self._now(), batch[0].record.key, POSTPONE_S)
        return False

    async def _write_each(self, batch: list[PendingRecord]) -> bool:
        """Writes records one by one, as one that fails must not hold up the others."""
        return all([await self._write([pending]) for pending in batch])

    async def _put(self, batch: list[PendingRecord]) -> bool:
        lease = 0
        try:
            ttl_s = max(p.record.ttl_s for p in batch)
            lease = await self._leases.get(ttl_s)
            puts = [StorePut(p.record.key, p.record.value, lease) for p in batch]
            await self._store.put_many(puts)
        except LeaseLost:
            self._leases.drop(lease)
            return False
        except StoreRejected as exc:
            if len(batch) == 1:
                self._refuse(batch[0], exc)
                return True
            return await self._write_each(batch)
        except StoreError as exc:
            logger.bind(records=len(self._pending), reason=str(exc)).warning(
                "records not stored yet"
            )
            return False
        self._mark_stored(batch)
        return True

    def _refuse(self, pending: PendingRecord, exc: StoreRejected) -> None:
        """Keeps a record on disk only, as the store does not accept it."""
        record = pending.record
        self._pending.refuse(self._now(), record.key)
        REFUSED.inc({})
        logger.bind(
            key=record.key, bytes=len(record.value), ttl_s=record.ttl_s, reason=str(exc)
        ).error("record refused by the store")

    def _mark_stored(self, batch: list[PendingRecord]) -> None:
        stored_keys: dict[str, list[str]] = {}
        for pending in batch:
            record = pending.record
            self._move_to_cache(record.key)
            for partner in pending.partners:
                stored_keys.setdefault(partner, []).append(record.key)
        for partner, keys in stored_keys.items():
            self._peers.send(partner, RecordsStored(keys))
        logger.bind(records=len(batch), left=len(self._pending)).info("records stored")

    def _move_to_cache(self, key: str) -> None:
        pending = self._pending.pop(key)
        if pending is not None:
            self._cache.add(key, pending.record.value)
            self._journal.mark_stored(key)

    async def _on_keep(self, sender: str, req: KeepRecord) -> KeepRecordReply:
        if not self.ready or self._pending.size_bytes > self.cfg.pending_bytes:
            return KeepRecordReply(False)
        fut: asyncio.Future[bool] = asyncio.get_running_loop().create_future()
        self._unsynced.append((req, fut))
        self._sync_requested.set()
        return KeepRecordReply(await fut)

    async def _on_fetch(self, sender: str, req: FetchRecord) -> FetchRecordReply:
        value = self._pending.get(req.key) or self._cache.get(req.key)
        return FetchRecordReply(value is not None, value or b"")

    async def _on_stored(self, sender: str, msg: RecordsStored) -> None:
        for key in msg.keys:
            self._move_to_cache(key)
