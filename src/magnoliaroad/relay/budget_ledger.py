"""Claims parts of programs' token budgets in the store and accounts for their use."""

import asyncio
import enum
import math
import time
from collections.abc import Awaitable, Callable
from typing import NamedTuple

from loguru import logger

from magnoliaroad.records.lru_cache import LruCache
from magnoliaroad.refusal import Refused
from magnoliaroad.relay.budget import BudgetRecord, claim_size, unpack_budget
from magnoliaroad.relay.budget_parts import divide_budget
from magnoliaroad.relay.budget_share import BudgetShare
from magnoliaroad.relay.claim_messages import ClaimWriteRequest
from magnoliaroad.relay.claim_router import ClaimRouter
from magnoliaroad.relay.escrow_client import EscrowClient
from magnoliaroad.relay.escrow_messages import EscrowRequest
from magnoliaroad.relay.fleet_messages import BudgetLoanReply
from magnoliaroad.relay.refusals import BUDGET_SPENT, BUDGET_UNCERTAIN
from magnoliaroad.relay.settings import TurnSettings
from magnoliaroad.relay.token_draw import TokenDraw
from magnoliaroad.store import StoreConflict, StoreEntry, StoreError

# Wait before a failed claim is tried again.
RETRY_INTERVAL_S = 0.05
# Time between two removals of idle programs.
SWEEP_INTERVAL_S = 30.0
# Most idle programs of which a host remembers what was spent of its claims; at the
# design size these are the programs of an hour.
MAX_IDLE_PROGRAMS = 20_000

# Log event of a record that was written.
CLAIMED_EVENT = "budget claimed"

BorrowFunc = Callable[[str, str], Awaitable[BudgetLoanReply | None]]


class _StoredRecord(NamedTuple):
    """A record as last seen in the store.

    Attributes:
        record: The record.
        revision: Its revision in the store; 0 if the store has none.
    """

    record: BudgetRecord
    revision: int


class _Need(NamedTuple):
    """Tokens that a turn lacks.

    Attributes:
        limit: The program's budget as stated by the caller.
        missing: Tokens of the turn that this host's share does not have.
    """

    limit: int
    missing: int


class _StorePart(enum.Enum):
    """What an attempt to claim in the store has shown.

    ``CLAIMED`` also stands for a record that turned out to be another.
    """

    CLAIMED = "claimed"
    EXHAUSTED = "exhausted"
    UNKNOWN = "unknown"


class _ProgramState:
    """State of one program at this host.

    Attributes:
        share: Tokens that this host may spend.
        lock: Held while a claim or a loan is in progress.
        stored: The record as last seen in the store; ``None`` before the first claim.
        written_at: Time at which this host last wrote it, in seconds; ``-inf`` if it
            was written by another host since.
        renewal: Writes the record again, so that it does not expire.

    Args:
        now: Time in seconds.
        spent: Tokens of this host's claims that were spent before the program was idle.
    """

    def __init__(self, now: float, spent: int) -> None:
        self.share = BudgetShare(now, spent)
        self.lock = asyncio.Lock()
        self.stored: _StoredRecord | None = None
        self.written_at = now
        self.renewal: asyncio.Task[None] | None = None

    @property
    def is_renewed(self) -> bool:
        """Whether the record is being written again."""
        return self.renewal is not None and not self.renewal.done()


class BudgetLedger:
    """Reserves tokens of programs for turns from this host's claims in the store.

    Args:
        claims: Writes claims to the store.
        escrow: Draws from the parts of budgets that the store does not hold.
        cfg: Time limits.
        holder: Incarnation of this host, under which it claims.
        borrow_from: Asks another holder to lend its unused tokens of a program;
            returns ``None`` if the holder cannot be reached.
        holders: Returns the incarnations of hosts in contact that may have tokens of a
            program, also borrowed ones without a claim of their own.
        store_unavailable: Returns whether calls on the store are known to fail.
        now: Clock in seconds.
    """

    def __init__(
        self,
        claims: ClaimRouter,
        escrow: EscrowClient,
        cfg: TurnSettings,
        holder: str,
        borrow_from: BorrowFunc,
        holders: Callable[[str], list[str]] = lambda program: [],
        store_unavailable: Callable[[], bool] = bool,
        now: Callable[[], float] = time.monotonic,
    ) -> None:
        self.cfg = cfg
        self._holders = holders
        self._store_unavailable = store_unavailable
        self._claims = claims
        self._escrow = escrow
        self._holder = holder
        self._borrow_from = borrow_from
        self._now = now
        self._programs: dict[str, _ProgramState] = {}
        # The record of an idle program lives on if other hosts claim, and then still
        # has the claim of this host, which must not be spent again.
        self._spent_before: LruCache[int] = LruCache(MAX_IDLE_PROGRAMS, lambda _: 1)
        self._last_sweep = now()

    async def reserve(self, name: str, limit: int, tokens: int) -> BudgetShare:
        """Reserves ``tokens`` of a program for a turn.

        Args:
            name: The program.
            limit: The program's budget as stated by the caller.
            tokens: Most tokens that the turn may generate.

        Returns:
            The share in which the tokens are reserved; the caller settles them there
            when the turn ends.

        Raises:
            Refused: The budget is spent, or it cannot be claimed now.
        """
        if limit < tokens:
            raise Refused(BUDGET_SPENT)
        program = self._program(name)
        if program.share.reserve(self._now(), tokens):
            self._renew_if_old(name, program)
            return program.share
        try:
            async with asyncio.timeout(self.cfg.claim_s), program.lock:
                while not program.share.reserve(self._now(), tokens):
                    need = _Need(limit, tokens - program.share.available)
                    await self._get_tokens(name, program, need)
                return program.share
        except TimeoutError as exc:
            raise Refused(BUDGET_UNCERTAIN) from exc

    def has_program(self, name: str) -> bool:
        """Returns whether turns of a program have lately asked this host for tokens."""
        return name in self._programs

    def lend(self, name: str) -> BudgetLoanReply:
        """Lends the tokens of a program that are neither spent nor reserved here."""
        program = self._programs.get(name)
        return BudgetLoanReply(0 if program is None else program.share.lend())

    def _renew_if_old(self, name: str, program: _ProgramState) -> None:
        """Writes the record again if it could expire before the program returns.

        A host whose claim suffices for many turns makes no other calls on the store,
        and without its record the program could claim its whole budget anew.
        """
        age_s = self._now() - program.written_at
        old = age_s > self.cfg.budget_retention_s - self.cfg.budget_return_s
        if old and program.stored is not None and not program.is_renewed:
            program.renewal = asyncio.create_task(self._renew(name, program))

    async def _renew(self, name: str, program: _ProgramState) -> None:
        async with program.lock:
            await self._write(name, program, program.stored.record)

    async def _get_tokens(self, name: str, program: _ProgramState, need: _Need) -> None:
        """Adds tokens to this host's share, from the first source that has some.

        Returns without tokens if the store may have some at the next call.

        Raises:
            Refused: No source has tokens now.
        """
        unclaimed = await self._claim(name, program, need)
        if unclaimed is _StorePart.CLAIMED:
            return
        # Both go on if the time limit passes: who has granted tokens has given them up.
        drawn = await asyncio.shield(self._draw(name, program, need))
        if drawn.tokens:
            return
        lent = await asyncio.shield(self._borrow(name, program))
        if lent.tokens:
            return
        if unclaimed is _StorePart.UNKNOWN and not self._store_unavailable():
            await asyncio.sleep(RETRY_INTERVAL_S)
            return
        exhausted = unclaimed is _StorePart.EXHAUSTED
        certain = exhausted and drawn.complete and lent.complete
        raise Refused(BUDGET_SPENT if certain else BUDGET_UNCERTAIN)

    async def _claim(
        self, name: str, program: _ProgramState, need: _Need
    ) -> _StorePart:
        """Claims tokens of the store's part of a budget, if it has enough."""
        if program.stored is None:
            parts = divide_budget(need.limit, self._escrow.data_centres)
            program.stored = _StoredRecord(BudgetRecord(parts.store, {}), 0)
        record = program.stored.record
        if not record.free:
            return _StorePart.EXHAUSTED
        if self._store_unavailable():
            return _StorePart.UNKNOWN
        size = claim_size(record, need.missing, self.cfg.claim_part)
        return await self._write(name, program, record.with_claim(self._holder, size))

    async def _draw(self, name: str, program: _ProgramState, need: _Need) -> TokenDraw:
        """Adds tokens that escrow hosts grant to this host's share."""
        drawn = await self._escrow.draw(EscrowRequest(name, need.limit, need.missing))
        program.share.borrowed += drawn.tokens
        return drawn

    async def _borrow(self, name: str, program: _ProgramState) -> TokenDraw:
        """Adds unused tokens of other holders to this host's share.

        The claims in the store do not change: a claim covers its tokens whichever host
        spends them. If the reply of a lender is lost, the tokens that it lent are lost
        to the program.
        """
        record = program.stored.record
        others = [holder for holder in record.claims if holder != self._holder]
        listed = {self._holder, *others}
        others += [holder for holder in self._holders(name) if holder not in listed]
        replies = await asyncio.gather(*(self._borrow_from(o, name) for o in others))
        lent = sum(reply.lent for reply in replies if reply is not None)
        program.share.borrowed += lent
        unreachable = [o for o, r in zip(others, replies, strict=True) if r is None]
        logger.bind(
            program=name, limit=record.limit, borrowed=lent, out_of_reach=unreachable
        ).info("budget borrowed")
        return TokenDraw(lent, not unreachable)

    async def _write(
        self, name: str, program: _ProgramState, record: BudgetRecord
    ) -> _StorePart:
        """Writes ``record``; after a conflict, reads the record that is stored.

        A write whose reply is lost does no harm: it can only have raised the claim of
        this host.
        """
        event = CLAIMED_EVENT
        claim = ClaimWriteRequest(name, record.pack(), program.stored.revision)
        try:
            revision = await self._claims.write(claim)
        except StoreConflict as exc:
            event = "budget's record is another"
            if exc.current is None:
                record, revision = BudgetRecord(record.limit, {}), 0
            elif (stored := _read_budget(name, exc.current)) is None:
                return _StorePart.UNKNOWN
            else:
                record, revision = stored, exc.current.revision
        except StoreError as exc:
            reason = repr(exc)
            logger.bind(program=name, reason=reason).warning("budget not claimed yet")
            return _StorePart.UNKNOWN
        program.stored = _StoredRecord(record, revision)
        # Another host may have written its record long ago, so the next turn renews it.
        program.written_at = self._now() if event == CLAIMED_EVENT else -math.inf
        program.share.claimed = record.claims.get(self._holder, 0)
        logger.bind(
            program=name, claims=record.claims, limit=record.limit, revision=revision
        ).info(event)
        return _StorePart.CLAIMED

    def _program(self, name: str) -> _ProgramState:
        now = self._now()
        if now - self._last_sweep > SWEEP_INTERVAL_S:
            self._last_sweep = now
            self._remove_idle(now)
        program = self._programs.get(name)
        if program is None:
            spent = self._spent_before.get(name) or 0
            program = self._programs[name] = _ProgramState(now, spent)
        return program

    def _remove_idle(self, now: float) -> None:
        """Removes idle programs; keeps only what was spent of them."""
        for name, program in list(self._programs.items()):
            idle_s = now - program.share.touched
            if idle_s > self.cfg.budget_retention_s and not program.share.reserved:
                del self._programs[name]
                spent = program.share.spent_claim
                if spent or name in self._spent_before:
                    self._spent_before.add(name, spent)


def _read_budget(name: str, entry: StoreEntry) -> BudgetRecord | None:
    """Returns the record in an entry; ``None`` if it cannot be decoded."""
    try:
        return unpack_budget(entry.value)
    except ValueError as exc:
        logger.bind(program=name, key=entry.key, reason=str(exc)).error(
            "budget cannot be read"
        )
        return None
