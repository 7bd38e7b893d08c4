"""Keeps answered turns as records and finds them again."""

import asyncio

from loguru import logger

from magnoliaroad.records.client import RecordClient
from magnoliaroad.records.held import HeldValues
from magnoliaroad.refusal import Refused
from magnoliaroad.relay.refusals import NO_TURN, TURN_UNCERTAIN
from magnoliaroad.relay.settings import TurnSettings
from magnoliaroad.relay.turn import Turn, pack_turn, unpack_turn

PREFIX = "turns/"
# Time that a record outlives its turn's retention, for lag between hosts.
SPARE_S = 5.0


class TurnLedger:
    """Writes each turn once; turns never change, so any host may read or write them.

    Args:
        records: Keeps the turns' records.
        cfg: Sizes and time limits.
    """

    def __init__(self, records: RecordClient, cfg: TurnSettings) -> None:
        self.cfg = cfg
        self._records = records
        self._cache: HeldValues[Turn] = HeldValues(
            cfg.cache_bytes, lambda turn: len(turn.text)
        )

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
        """Writes a turn; returns once it will outlive the loss of a host.

        Args:
            turn: The turn, with its own input and output as its text.
            before: The turn that it continues, with its chain.
            retention_s: How long it is to be found.

        Raises:
            TimeoutError: It could not be written in time.
        """
        if before is not None:
            whole = before.text + turn.text
            if len(whole) <= self.cfg.whole_chain_bytes:
                turn = turn._replace(text=whole)
            else:
                turn = turn._replace(parent=before.turn_id)
        self._cache.add(turn.turn_id, turn)
        async with asyncio.timeout(self.cfg.store_patience_s):
            await self._records.keep(
                PREFIX + turn.turn_id, pack_turn(turn), retention_s + SPARE_S
            )

    async def _read(self, turn_id: str) -> Turn:
        turn = self._cache.get(turn_id)
        if turn is None:
            value = await self._records.fetch(PREFIX + turn_id)
            if value is None:
                raise Refused(NO_TURN)
            turn = unpack_turn(turn_id, value)
            self._cache.add(turn_id, turn)
        return turn
