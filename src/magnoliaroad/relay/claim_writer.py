"""Writes claims of budgets to the store, several in one call."""

import asyncio
from collections.abc import Sequence

from loguru import logger
from mode import Service

from magnoliaroad.batched import batched
from magnoliaroad.records.held import HeldValues
from magnoliaroad.relay.claim_messages import ClaimAsk
from magnoliaroad.relay.settings import TurnSettings
from magnoliaroad.store import (
    LeaseLost,
    Store,
    StoreConflict,
    StoreEntry,
    StoreError,
    StorePut,
    StoreUnavailable,
)
from magnoliaroad.store.leases import LeasePool

PREFIX = "budgets/"
# Most claims of one call; the platform's store takes this many entries.
MAX_CLAIMS_PER_CALL = 32
# Records that are remembered; the programs of two minutes at 80 a second.
MAX_CACHED_RECORDS = 10_000


class _PendingClaim:
    """A claim and who waits for its outcome."""

    def __init__(self, claim: ClaimAsk) -> None:
        self.claim = claim
        self.result: asyncio.Future[int] = asyncio.get_running_loop().create_future()

    def fail(self, exc: StoreError) -> None:
        if not self.result.done():
            self.result.set_exception(exc)

    def succeed(self, revision: int) -> None:
        if not self.result.done():
            self.result.set_result(revision)


class ClaimWriter(Service):
    """Writes a claim at once after a pause, and those that follow together.

    Load pattern: new programs by the dozen a second, each of which claims its budget
    once. Each call on the store is paid for, however many entries it writes.

    Args:
        store: The store.
        leases: Leases that end the records.
        cfg: Time limits.
    """

    def __init__(self, store: Store, leases: LeasePool, cfg: TurnSettings) -> None:
        super().__init__()
        self.cfg = cfg
        self._store = store
        self._leases = leases
        self._pending: list[_PendingClaim] = []
        # Records as this host last saw them: mostly the newest, which spare a program
        # with turns on several hosts the calls that would find them changed.
        self._cache: HeldValues[StoreEntry] = HeldValues(
            MAX_CACHED_RECORDS, lambda _: 1
        )
        self._batch_timer: asyncio.TimerHandle | None = None

    async def write(self, claim: ClaimAsk) -> int:
        """Returns the revision of the record that was written.

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
        """Has those that wait ask elsewhere."""
        if self._batch_timer is not None:
            self._batch_timer.cancel()
        for pending in self._pending:
            pending.fail(StoreUnavailable("the host stops"))

    def _send_pending(self) -> None:
        """Writes what waits; if there is anything, a pause follows."""
        self._batch_timer = None
        if not self._pending:
            return
        # The service checks all that is expected before it writes, so of two claims
        # of a program in one call the second would take the first away.
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
        lease = 0
        try:
            async with asyncio.timeout(self.cfg.claim_call_s):
                lease = await self._leases.get(self.cfg.budget_retention_s)
                puts = [
                    StorePut(
                        PREFIX + p.claim.program, p.claim.value, lease, p.claim.expected
                    )
                    for p in batch
                ]
                revisions = await self._store.put_many(puts)
        except StoreConflict as exc:
            self._handle_conflict(batch, exc)
        except TimeoutError:
            self._fail(batch, StoreUnavailable("no answer in time"))
        except StoreError as exc:
            if isinstance(exc, LeaseLost):
                self._leases.drop(lease)
            self._fail(batch, exc)
        else:
            for pending, revision in zip(batch, revisions, strict=True):
                program, value, _ = pending.claim
                self._cache.add(program, StoreEntry(PREFIX + program, value, revision))
                pending.succeed(revision)

    def _handle_conflict(
        self, batch: Sequence[_PendingClaim], exc: StoreConflict
    ) -> None:
        """Fails the claims that are not as expected and writes the others."""
        entries = {entry.key: entry for entry in exc.entries}
        remaining = []
        for pending in batch:
            program, _, expected = pending.claim
            key = PREFIX + program
            entry = entries.get(key, StoreEntry(key, b"", 0))
            if entry.revision == expected:
                remaining.append(pending)
                continue
            self._cache.add(program, entry)
            pending.fail(StoreConflict(key, entries.get(key)))
        logger.bind(claims=len(batch), left=len(remaining)).info("claims conflict")
        if len(remaining) == len(batch):
            # Written again they would conflict again.
            self._fail(
                remaining, StoreUnavailable(f"a conflict without a cause: {exc}")
            )
        elif remaining:
            self.add_future(self._send(remaining))

    def _fail(self, batch: Sequence[_PendingClaim], exc: StoreError) -> None:
        logger.bind(claims=len(batch), reason=repr(exc)).info("claims not written")
        for pending in batch:
            pending.fail(exc)
