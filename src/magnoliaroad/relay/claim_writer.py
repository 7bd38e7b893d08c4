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
MOST_CLAIMS = 32
# Records that are remembered; the programs of two minutes at 80 a second.
MOST_KNOWN = 10_000


class _Waiting:
    """A claim and who waits for its outcome."""

    def __init__(self, claim: ClaimAsk) -> None:
        self.claim = claim
        self.done: asyncio.Future[int] = asyncio.get_running_loop().create_future()

    def fail(self, exc: StoreError) -> None:
        if not self.done.done():
            self.done.set_exception(exc)

    def succeed(self, revision: int) -> None:
        if not self.done.done():
            self.done.set_result(revision)


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
        self._waiting: list[_Waiting] = []
        # Records as this host last saw them: mostly the newest, which spare a program
        # with turns on several hosts the calls that would find them changed.
        self._known: HeldValues[StoreEntry] = HeldValues(MOST_KNOWN, lambda _: 1)
        self._pause: asyncio.TimerHandle | None = None

    async def write(self, claim: ClaimAsk) -> int:
        """Returns the revision of the record that was written.

        Raises:
            StoreConflict: The record is not at the expected revision.
            StoreError: The record may have been written or not.
        """
        waiting = _Waiting(claim)
        self._waiting.append(waiting)
        if self._pause is None:
            self._send_waiting()
        return await waiting.done

    async def on_stop(self) -> None:
        """Has those that wait ask elsewhere."""
        if self._pause is not None:
            self._pause.cancel()
        for waiting in self._waiting:
            waiting.fail(StoreUnavailable("the host stops"))

    def _send_waiting(self) -> None:
        """Writes what waits; if there is anything, a pause follows."""
        self._pause = None
        if not self._waiting:
            return
        # The service checks all that is expected before it writes, so of two claims
        # of a program in one call the second would take the first away.
        now: dict[str, _Waiting] = {}
        later = []
        for waiting in self._waiting:
            known = self._known.get(waiting.claim.program)
            if known is not None and known.revision > waiting.claim.expected:
                waiting.fail(StoreConflict(known.key, known))
            elif waiting.claim.program in now:
                later.append(waiting)
            else:
                now[waiting.claim.program] = waiting
        self._waiting = later
        for batch in batched(list(now.values()), MOST_CLAIMS):
            self.add_future(self._send(batch))
        loop = asyncio.get_running_loop()
        self._pause = loop.call_later(self.cfg.claim_gap_s, self._send_waiting)

    async def _send(self, batch: Sequence[_Waiting]) -> None:
        lease = 0
        try:
            async with asyncio.timeout(self.cfg.claim_call_s):
                lease = await self._leases.get(self.cfg.budget_retention_s)
                puts = [
                    StorePut(
                        PREFIX + w.claim.program, w.claim.value, lease, w.claim.expected
                    )
                    for w in batch
                ]
                revisions = await self._store.put_many(puts)
        except StoreConflict as exc:
            self._write_rest(batch, exc)
        except TimeoutError:
            self._fail(batch, StoreUnavailable("no answer in time"))
        except StoreError as exc:
            if isinstance(exc, LeaseLost):
                self._leases.drop(lease)
            self._fail(batch, exc)
        else:
            for waiting, revision in zip(batch, revisions, strict=True):
                program, value, _ = waiting.claim
                self._known.add(program, StoreEntry(PREFIX + program, value, revision))
                waiting.succeed(revision)

    def _write_rest(self, batch: Sequence[_Waiting], exc: StoreConflict) -> None:
        """Fails the claims that are not as expected and writes the others."""
        entries = {entry.key: entry for entry in exc.entries}
        rest = []
        for waiting in batch:
            program, _, expected = waiting.claim
            key = PREFIX + program
            entry = entries.get(key, StoreEntry(key, b"", 0))
            if entry.revision == expected:
                rest.append(waiting)
                continue
            self._known.add(program, entry)
            waiting.fail(StoreConflict(key, entries.get(key)))
        logger.bind(claims=len(batch), left=len(rest)).info("claims conflict")
        if len(rest) == len(batch):
            # Written again they would conflict again.
            self._fail(rest, StoreUnavailable(f"a conflict without a cause: {exc}"))
        elif rest:
            self.add_future(self._send(rest))

    def _fail(self, batch: Sequence[_Waiting], exc: StoreError) -> None:
        logger.bind(claims=len(batch), reason=repr(exc)).info("claims not written")
        for waiting in batch:
            waiting.fail(exc)
