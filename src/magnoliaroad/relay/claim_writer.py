"""Writes claims of budgets to the store, several in one call."""

import asyncio
from collections.abc import Sequence

from loguru import logger
from mode import Service

from magnoliaroad.batched import batched
from magnoliaroad.records.lru_cache import LruCache
from magnoliaroad.relay.claim_messages import ClaimWriteRequest
from magnoliaroad.relay.settings import TurnSettings
from magnoliaroad.store import (
    LeaseLost,
    Store,
    StoreConflict,
    StoreEntry,
    StoreError,
    StorePut,
    StoreRejected,
    StoreUnavailable,
)
from magnoliaroad.store.keys import key_of
from magnoliaroad.store.leases import LeasePool

PREFIX = "budgets/"
# Most claims written in one call; the platform's store accepts twice as many entries,
# and each claim is one with a condition.
MAX_CLAIMS_PER_CALL = 16
# Most cached records: two minutes of new programs at 80 a second are 9,600.
MAX_CACHED_RECORDS = 10_000


class _PendingClaim:
    """A claim and the future of the revision that it is written at."""

    def __init__(self, claim: ClaimWriteRequest) -> None:
        self.claim = claim
        self.result: asyncio.Future[int] = asyncio.get_running_loop().create_future()

    def fail(self, exc: StoreError) -> None:
        if not self.result.done():
            self.result.set_exception(exc)

    def succeed(self, revision: int) -> None:
        if not self.result.done():
            self.result.set_result(revision)


class ClaimWriter(Service):
    """Writes claims in batches, with a minimum interval between two batches.

    A claim that comes after that interval is written at once; those that come within
    it are written together at its end. This suits dozens of new programs a second, each
    of which claims its budget once: every call on the store is paid for, however many
    entries it writes.

    Args:
        store: The store.
        leases: Leases with which the records expire.
        cfg: Time limits.
    """

    def __init__(self, store: Store, leases: LeasePool, cfg: TurnSettings) -> None:
        super().__init__()
        self.cfg = cfg
        self._store = store
        self._leases = leases
        self._pending: list[_PendingClaim] = []
        # Records as this host last saw them, mostly the newest. For a program whose
        # turns run on several hosts they reveal conflicts without a call on the store.
        self._cache: LruCache[StoreEntry] = LruCache(MAX_CACHED_RECORDS, lambda _: 1)
        self._batch_timer: asyncio.TimerHandle | None = None

    async def write(self, claim: ClaimWriteRequest) -> int:
        """Writes ``claim`` and returns the revision of the written record.

        Raises:
            StoreConflict: The record is not at the expected revision.
            StoreError: The record may have been written or not.
        """
        pending = _PendingClaim(claim)
        self._pending.append(pending)
        if self._batch_timer is None:
            self._send_pending()
        return await pending.result

    async def on_stop(self) -> None:
        """Fails the pending claims, so that their callers write them elsewhere."""
        if self._batch_timer is not None:
            self._batch_timer.cancel()
        for pending in self._pending:
            pending.fail(StoreUnavailable("host is stopping"))

    def _send_pending(self) -> None:
        """Writes the pending claims; if there are any, starts the batch interval."""
        self._batch_timer = None
        if not self._pending:
            return
        # The store compares all expected revisions of a call before it writes, so of
        # two claims of one program in a call the second would overwrite the first.
        current: dict[str, _PendingClaim] = {}
        deferred = []
        for pending in self._pending:
            cached = self._cache.get(pending.claim.program)
            if cached is not None and cached.revision > pending.claim.expected:
                pending.fail(StoreConflict(cached.key, cached))
            elif pending.claim.program in current:
                deferred.append(pending)
            else:
                current[pending.claim.program] = pending
        self._pending = deferred
        for batch in batched(list(current.values()), MAX_CLAIMS_PER_CALL):
            self.add_future(self._send(batch))
        loop = asyncio.get_running_loop()
        self._batch_timer = loop.call_later(self.cfg.claim_gap_s, self._send_pending)

    async def _send(self, batch: Sequence[_PendingClaim]) -> None:
        try:
            await self._write(batch)
        except Exception as exc:
            logger.bind(claims=len(batch)).opt(exception=exc).error("claims failed")
            self._isolate(batch, StoreUnavailable(repr(exc)))

    async def _write(self, batch: Sequence[_PendingClaim]) -> None:
        lease = 0
        try:
            async with asyncio.timeout(self.cfg.claim_call_s):
                lease = await self._leases.get(self.cfg.budget_retention_s)
                puts = [
                    StorePut(
                        key_of(PREFIX, p.claim.program),
                        p.claim.value,
                        lease,
                        p.claim.expected,
                    )
                    for p in batch
                ]
                revisions = await self._store.put_many(puts)
        except StoreConflict as exc:
            self._handle_conflict(batch, exc)
        except StoreRejected as exc:
            self._isolate(batch, exc)
        except TimeoutError:
            self._fail(batch, StoreUnavailable("store call timed out"))
        except StoreError as exc:
            if isinstance(exc, LeaseLost):
                self._leases.drop(lease)
            self._fail(batch, exc)
        else:
            # Fails before any claim gets the revision of another.
            for pending, revision in list(zip(batch, revisions, strict=True)):
                program, value, _ = pending.claim
                entry = StoreEntry(key_of(PREFIX, program), value, revision)
                self._cache.add(program, entry)
                pending.succeed(revision)

    def _isolate(self, batch: Sequence[_PendingClaim], exc: StoreError) -> None:
        """Writes claims one by one, as one that fails must not fail the others.

        A claim that was written after all conflicts with itself, which is harmless.
        """
        waiting = [pending for pending in batch if not pending.result.done()]
        if len(batch) == 1:
            self._fail(waiting, exc)
            return
        for pending in waiting:
            self.add_future(self._send([pending]))

    def _handle_conflict(
        self, batch: Sequence[_PendingClaim], exc: StoreConflict
    ) -> None:
        """Fails the claims that conflict and writes the others of the batch again."""
        entries = {entry.key: entry for entry in exc.entries}
        remaining = []
        for pending in batch:
            program, _, expected = pending.claim
            key = key_of(PREFIX, program)
            entry = entries.get(key, StoreEntry(key, b"", 0))
            if entry.revision == expected:
                remaining.append(pending)
                continue
            self._cache.add(program, entry)
            pending.fail(StoreConflict(key, entries.get(key)))
        logger.bind(claims=len(batch), left=len(remaining)).info("claims conflict")
        if len(remaining) == len(batch):
            # No entry of the batch explains the conflict: a retry would conflict again.
            self._fail(remaining, StoreUnavailable(f"conflict without a cause: {exc}"))
        elif remaining:
            self.add_future(self._send(remaining))

    def _fail(self, batch: Sequence[_PendingClaim], exc: StoreError) -> None:
        logger.bind(claims=len(batch), reason=repr(exc)).info("claims not written")
        for pending in batch:
            pending.fail(exc)
