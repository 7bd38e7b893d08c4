"""Keeps answered turns in the store and finds them again."""

import asyncio

from loguru import logger

from magnoliaroad.refusal import Refused
from magnoliaroad.relay.leases import LeasePool
from magnoliaroad.relay.refusals import NO_TURN, TURN_UNCERTAIN
from magnoliaroad.relay.settings import TurnSettings
from magnoliaroad.relay.turn import Turn, pack_turn, unpack_turn
from magnoliaroad.relay.turn_cache import TurnCache
from magnoliaroad.store import LeaseLost, Store, StoreError, StorePut

PREFIX = "turns/"
# Wait between tries of a call on the store.
RETRY_S = 0.05
# Time that a record outlives its turn's retention, for lag between hosts.
SPARE_S = 5.0


class TurnLedger:
    """Writes each turn once; turns never change, so any host may read or write them.

    Args:
        store: The store.
        leases: Leases that end the records.
        cfg: Sizes and time limits.
    """

    def __init__(self, store: Store, leases: LeasePool, cfg: TurnSettings) -> None:
        self.cfg = cfg
        self._store = store
        self._leases = leases
        self._cache = TurnCache(cfg.cache_bytes)

    async def load(self, turn_id: str, team: str) -> Turn:
        """Returns a turn with its whole chain as its text.

        Raises:
            Refused: There is no such turn of ``team``, or that is not certain now.
        """
        try:
            async with asyncio.timeout(self.cfg.store_patience_s):
                turn = await self._read(turn_id)
                if turn.team != team:
                    logger.bind(turn=turn_id, team=team, holder=turn.team).warning(
                        "turn of another team"
                    )
                    raise Refused(NO_TURN)
                texts = [turn.text]
                while turn.parent:
                    turn = await self._read(turn.parent)
                    texts.append(turn.text)
        except TimeoutError as exc:
            raise Refused(TURN_UNCERTAIN) from exc
        first = self._cache.get(turn_id)
        target = "" if first is None else first.target
        return Turn(turn_id, team, "", b"".join(reversed(texts)), target)

    async def keep(self, turn: Turn, before: Turn | None, retention_s: float) -> None:
        """Writes a turn; returns once the store has acknowledged it.

        Args:
            turn: The turn, with its own input and output as its text.
            before: The turn that it continues, with its chain.
            retention_s: How long it is to be found.

        Raises:
            TimeoutError: The store did not acknowledge it in time.
        """
        if before is not None:
            whole = before.text + turn.text
            if len(whole) <= self.cfg.whole_chain_bytes:
                turn = turn._replace(text=whole)
            else:
                turn = turn._replace(parent=before.turn_id)
        self._cache.add(turn)
        async with asyncio.timeout(self.cfg.store_patience_s):
            while True:
                try:
                    await self._write(turn, retention_s)
                    return
                except StoreError as exc:
                    logger.bind(turn=turn.turn_id, reason=str(exc)).warning(
                        "turn not written yet"
                    )
                await asyncio.sleep(RETRY_S)

    async def _write(self, turn: Turn, retention_s: float) -> None:
        lease = await self._leases.get(retention_s + SPARE_S)
        try:
            put = StorePut(PREFIX + turn.turn_id, pack_turn(turn), lease)
            await self._store.put_many([put])
        except LeaseLost:
            self._leases.drop(lease)
            raise

    async def _read(self, turn_id: str) -> Turn:
        turn = self._cache.get(turn_id)
        while turn is None:
            try:
                entry = await self._store.get(PREFIX + turn_id)
            except StoreError as exc:
                logger.bind(turn=turn_id, reason=str(exc)).warning("turn not read yet")
                await asyncio.sleep(RETRY_S)
                continue
            if entry is None:
                raise Refused(NO_TURN)
            turn = unpack_turn(turn_id, entry.value)
            self._cache.add(turn)
        return turn
