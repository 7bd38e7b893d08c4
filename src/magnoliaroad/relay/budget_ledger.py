"""Claims parts of programs' budgets in the store."""

import asyncio
import time
from collections.abc import Awaitable, Callable
from typing import NamedTuple

from loguru import logger

from magnoliaroad.refusal import Refused
from magnoliaroad.relay.beat import BudgetGiven
from magnoliaroad.relay.budget import BudgetRecord, claim_size, unpack_budget
from magnoliaroad.relay.budget_share import BudgetShare
from magnoliaroad.relay.claim_desk import ClaimDesk
from magnoliaroad.relay.claim_messages import ClaimAsk
from magnoliaroad.relay.refusals import BUDGET_SPENT, BUDGET_UNCERTAIN
from magnoliaroad.relay.settings import TurnSettings
from magnoliaroad.store import StoreConflict, StoreError

# Wait between tries of a call on the store.
RETRY_INTERVAL_S = 0.05
# Time between looks for programs that are not used any more.
SWEEP_INTERVAL_S = 30.0

BorrowFunc = Callable[[str, str], Awaitable[BudgetGiven | None]]


class _StoredRecord(NamedTuple):
    """A record and its revision in the store; 0 where there is none."""

    record: BudgetRecord
    revision: int


class _ProgramState:
    """What this host knows of one program.

    Attributes:
        share: Tokens that this host may hand out.
        lock: Held while the record is changed.
        known: The record as it was last seen.
    """

    def __init__(self, now: float) -> None:
        self.share = BudgetShare(now)
        self.lock = asyncio.Lock()
        self.stored: _StoredRecord | None = None


class BudgetLedger:
    """Hands out tokens of programs that were claimed in the store before.

    Args:
        claims: Writes claims to the store.
        cfg: Time limits.
        holder: Incarnation of this host.
        borrow_from: Asks another holder to lend what it does not use; returns ``None``
            if it cannot be reached.
        holders: Returns the hosts in contact, which may hold tokens that they
            borrowed.
        store_unavailable: Returns whether calls on the store are known to fail.
        now: Clock in seconds.
    """

    def __init__(
        self,
        claims: ClaimDesk,
        cfg: TurnSettings,
        holder: str,
        borrow_from: BorrowFunc,
        holders: Callable[[], list[str]] = list,
        store_unavailable: Callable[[], bool] = bool,
        now: Callable[[], float] = time.monotonic,
    ) -> None:
        self.cfg = cfg
        self._holders = holders
        self._store_unavailable = store_unavailable
        self._claims = claims
        self._holder = holder
        self._borrow_from = borrow_from
        self._now = now
        self._programs: dict[str, _ProgramState] = {}
        self._last_sweep = now()

    async def reserve(self, name: str, limit: int, tokens: int) -> BudgetShare:
        """Sets ``tokens`` of a program aside for a turn, to be settled at its end.

        Args:
            name: The program.
            limit: Its budget, as the caller states it.
            tokens: Most tokens of the turn.

        Raises:
            Refused: They are spent, or cannot be claimed now.
        """
        program = self._program(name)
        if program.share.reserve(self._now(), tokens):
            return program.share
        try:
            async with asyncio.timeout(self.cfg.claim_s), program.lock:
                while not program.share.reserve(self._now(), tokens):
                    await self._claim(name, program, limit, tokens)
                return program.share
        except TimeoutError as exc:
            raise Refused(BUDGET_UNCERTAIN) from exc

    def has_program(self, name: str) -> bool:
        """Returns whether this host has handed out tokens of a program."""
        return name in self._programs

    def lend(self, name: str) -> BudgetGiven:
        """Gives away the tokens of a program that no turn here may use."""
        program = self._programs.get(name)
        return BudgetGiven(0 if program is None else program.share.lend())

    async def _claim(
        self, name: str, program: _ProgramState, limit: int, tokens: int
    ) -> None:
        if program.stored is None:
            program.stored = _StoredRecord(BudgetRecord(limit, {}), 0)
        record, _ = program.stored
        needed = tokens - program.share.available
        if record.free >= needed:
            if self._store_unavailable():
                # It may be back within the time that a claim may take.
                await asyncio.sleep(RETRY_INTERVAL_S)
                return
            size = claim_size(record, needed)
            await self._write(name, program, record.claim(self._holder, size))
            return
        others = [holder for holder in record.claims if holder != self._holder]
        if not others and not program.share.lent:
            raise Refused(BUDGET_SPENT)
        listed = {self._holder, *others}
        others += [holder for holder in self._holders() if holder not in listed]
        if not await self._borrow(name, program, record, others):
            raise Refused(BUDGET_SPENT)

    async def _borrow(
        self, name: str, program: _ProgramState, record: BudgetRecord, others: list[str]
    ) -> bool:
        """Has others lend what they do not use; returns whether any did.

        The claims in the store stay as they are: they cover whoever hands the tokens
        out. Tokens whose lending is not heard of are lost to the program.

        Raises:
            Refused: Some cannot be reached, so it is not certain what is spent.
        """
        replies = await asyncio.gather(*(self._borrow_from(o, name) for o in others))
        lent = sum(reply.lent for reply in replies if reply is not None)
        program.share.borrowed += lent
        unreachable = [o for o, r in zip(others, replies, strict=True) if r is None]
        logger.bind(
            program=name, limit=record.limit, borrowed=lent, out_of_reach=unreachable
        ).info("budget borrowed")
        if lent:
            return True
        if unreachable:
            raise Refused(BUDGET_UNCERTAIN)
        return False

    async def _write(
        self, name: str, program: _ProgramState, record: BudgetRecord
    ) -> None:
        """Writes ``record``, or learns what stands in its place.

        A write whose answer is lost does no harm: it can only have raised the claim
        of this host.
        """
        event = "budget claimed"
        claim = ClaimAsk(name, record.pack(), program.stored.revision)
        try:
            revision = await self._claims.write(claim)
        except StoreConflict as exc:
            event = "budget's record is another"
            if exc.current is None:
                record, revision = BudgetRecord(record.limit, {}), 0
            else:
                record = unpack_budget(exc.current.value)
                revision = exc.current.revision
        except StoreError as exc:
            reason = repr(exc)
            logger.bind(program=name, reason=reason).warning("budget not claimed yet")
            await asyncio.sleep(RETRY_INTERVAL_S)
            return
        program.stored = _StoredRecord(record, revision)
        program.share.claimed = record.claims.get(self._holder, 0)
        logger.bind(
            program=name, claims=record.claims, limit=record.limit, revision=revision
        ).info(event)

    def _program(self, name: str) -> _ProgramState:
        now = self._now()
        if now - self._last_sweep > SWEEP_INTERVAL_S:
            self._last_sweep = now
            self._remove_idle(now)
        program = self._programs.get(name)
        if program is None:
            program = self._programs[name] = _ProgramState(now)
        return program

    def _remove_idle(self, now: float) -> None:
        """Forgets programs whose records have ended or will soon."""
        for name, program in list(self._programs.items()):
            idle_s = now - program.share.touched
            if idle_s > self.cfg.budget_retention_s and not program.share.reserved:
                del self._programs[name]
