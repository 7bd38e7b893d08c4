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
from magnoliaroad.relay.refusals import BUDGET_SPENT, BUDGET_UNCERTAIN
from magnoliaroad.relay.settings import TurnSettings
from magnoliaroad.store import LeaseLost, Store, StoreConflict, StoreError
from magnoliaroad.store.leases import LeasePool

PREFIX = "budgets/"
# Wait between tries of a call on the store.
RETRY_S = 0.05
# Time between looks for programs that are not used any more.
SWEEP_S = 30.0

AskHolder = Callable[[str, str], Awaitable[BudgetGiven | None]]


class _Known(NamedTuple):
    """A record and its revision in the store; 0 where there is none."""

    record: BudgetRecord
    revision: int


class _Program:
    """What this host knows of one program.

    Attributes:
        share: Claim from which turns are served.
        old: Claims whose last write has an unknown outcome; nothing more is handed
            out under their names.
        lock: Held while the record is changed.
        known: The record as it was last seen.
    """

    def __init__(self, holder: str, now: float) -> None:
        self.share = BudgetShare(holder, now)
        self.old: list[BudgetShare] = []
        self.lock = asyncio.Lock()
        self.known: _Known | None = None
        self._holder = holder

    @property
    def shares(self) -> list[BudgetShare]:
        """All claims of this host."""
        return [*self.old, self.share]

    def renew(self, now: float) -> None:
        """Starts a claim under another name."""
        self.old.append(self.share)
        self.share = BudgetShare(f"{self._holder}/{len(self.old)}", now)

    def learn(self, record: BudgetRecord, revision: int) -> None:
        """Takes over the record as it stands in the store."""
        self.known = _Known(record, revision)
        self.share.claimed = record.claims.get(self.share.holder, 0)

    def trimmed(self, shares: list[BudgetShare]) -> BudgetRecord:
        """Returns the record without the tokens in ``shares`` that no turn may use."""
        record = self.known.record
        for share in shares:
            claimed = record.claims.get(share.holder, 0)
            spare = claimed - share.used - share.reserved
            if spare > 0:
                record = record.claim(share.holder, -spare)
        return record


class BudgetLedger:
    """Hands out tokens of programs that were claimed in the store before.

    Args:
        store: The store.
        leases: Leases that end the records.
        cfg: Time limits.
        holder: Incarnation of this host.
        ask: Asks another holder to give back what it does not use; returns ``None``
            if it cannot be reached.
        now: Clock in seconds.
    """

    def __init__(
        self,
        store: Store,
        leases: LeasePool,
        cfg: TurnSettings,
        holder: str,
        ask: AskHolder,
        now: Callable[[], float] = time.monotonic,
    ) -> None:
        self.cfg = cfg
        self._store = store
        self._leases = leases
        self._holder = holder
        self._ask = ask
        self._now = now
        self._programs: dict[str, _Program] = {}
        self._swept = now()

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
            async with asyncio.timeout(self.cfg.store_patience_s), program.lock:
                while not program.share.reserve(self._now(), tokens):
                    await self._claim(name, program, limit, tokens)
                return program.share
        except TimeoutError as exc:
            raise Refused(BUDGET_UNCERTAIN) from exc

    def knows(self, name: str) -> bool:
        """Returns whether this host has handed out tokens of a program."""
        return name in self._programs

    async def give_back(self, name: str) -> BudgetGiven:
        """Gives back the tokens of a program that no turn here may use."""
        program = self._programs.get(name)
        if program is None:
            return BudgetGiven(0)
        async with asyncio.timeout(self.cfg.store_patience_s), program.lock:
            while program.known is not None:
                before = program.known.record
                record = program.trimmed(program.shares)
                if record == before:
                    break
                # Not to be handed out while the call is under way.
                program.share.claimed = program.share.used + program.share.reserved
                if await self._write(name, program, record):
                    return BudgetGiven(record.free - before.free)
        return BudgetGiven(0)

    async def _claim(
        self, name: str, program: _Program, limit: int, tokens: int
    ) -> None:
        if program.known is None:
            program.learn(BudgetRecord(limit, {}), 0)
        record = program.trimmed(program.old)
        needed = tokens - program.share.available
        if record.free >= needed:
            size = claim_size(record, needed)
            await self._write(name, program, record.claim(program.share.holder, size))
            return
        others = [
            holder
            for holder, claimed in record.claims.items()
            if claimed > 0 and not holder.startswith(self._holder)
        ]
        # Only others can have given tokens back since the copy was read.
        if not others:
            raise Refused(BUDGET_SPENT)
        if await self._refresh(name, program):
            return
        if not await self._recall(name, record, others):
            raise Refused(BUDGET_SPENT)
        await self._refresh(name, program)

    async def _recall(self, name: str, record: BudgetRecord, others: list[str]) -> bool:
        """Has others give back what they do not use; returns whether any did.

        Raises:
            Refused: Some cannot be reached, so it is not certain what is spent.
        """
        answers = await asyncio.gather(*(self._ask(o, name) for o in others))
        if any(given is not None and given.returned > 0 for given in answers):
            return True
        unknown = [o for o, a in zip(others, answers, strict=True) if a is None]
        if unknown:
            logger.bind(program=name, holders=unknown, limit=record.limit).info(
                "budget claimed by hosts out of reach"
            )
            raise Refused(BUDGET_UNCERTAIN)
        return False

    async def _refresh(self, name: str, program: _Program) -> bool:
        """Reads the record; returns whether it has changed."""
        before = program.known
        try:
            entry = await self._store.get(PREFIX + name)
        except StoreError as exc:
            await self._rest(name, exc)
            return True
        if entry is None:
            return False
        program.learn(unpack_budget(entry.value), entry.revision)
        return before is None or before.revision != entry.revision

    async def _write(self, name: str, program: _Program, record: BudgetRecord) -> bool:
        """Writes ``record``; returns whether it is in the store."""
        assert program.known is not None
        lease = 0
        try:
            lease = await self._leases.get(self.cfg.budget_retention_s)
            revision = await self._store.put(
                PREFIX + name, record.pack(), program.known.revision, lease
            )
        except StoreConflict as exc:
            if exc.current is None:
                program.learn(BudgetRecord(program.known.record.limit, {}), 0)
                return False
            current = unpack_budget(exc.current.value)
            program.learn(current, exc.current.revision)
            return current == record
        except LeaseLost:
            self._leases.drop(lease)
            return False
        except StoreError as exc:
            if exc.verdict.may_retry:
                program.learn(*program.known)
            else:
                # The write may still take effect, at once or in seconds.
                program.renew(self._now())
                program.known = None
            await self._rest(name, exc)
            return False
        program.learn(record, revision)
        logger.bind(
            program=name, claims=record.claims, limit=record.limit, revision=revision
        ).info("budget claimed")
        return True

    async def _rest(self, name: str, exc: StoreError) -> None:
        logger.bind(program=name, reason=str(exc)).warning("budget not claimed yet")
        await asyncio.sleep(RETRY_S)

    def _program(self, name: str) -> _Program:
        now = self._now()
        if now - self._swept > SWEEP_S:
            self._swept = now
            self._sweep(now)
        program = self._programs.get(name)
        if program is None:
            program = self._programs[name] = _Program(self._holder, now)
        return program

    def _sweep(self, now: float) -> None:
        """Forgets programs whose records have ended or will soon."""
        for name, program in list(self._programs.items()):
            idle_s = now - program.share.touched
            busy = any(share.reserved for share in program.shares)
            if idle_s > self.cfg.budget_retention_s and not busy:
                del self._programs[name]
