"""Keeps answered turns as records and finds them again."""

import asyncio
import time
from collections.abc import Callable

from loguru import logger

from magnoliaroad.batched import batched
from magnoliaroad.records.client import RecordClient
from magnoliaroad.records.held import HeldValues
from magnoliaroad.refusal import Refused
from magnoliaroad.relay.refusals import NO_TURN, TURN_UNCERTAIN
from magnoliaroad.relay.settings import TurnSettings
from magnoliaroad.relay.turn import LoadedTurn, Turn, pack_turn, unpack_turn

PREFIX = "turns/"
# Time that a record outlives what needs it, for steps and lag between clocks.
RETENTION_MARGIN_S = 5.0


class TurnLedger:
    """Writes each turn once; turns never change, so any host may read or write them.

    A turn's record holds its own part and names the records before it. These are kept
    for twice the retention, so turns may refer to them for as long as one retention;
    a turn that comes later writes the whole chain anew.

    Args:
        records: Keeps the turns' records.
        cfg: Sizes and time limits.
        now: Time of day in seconds; hosts' clocks differ by less than
            ``RETENTION_MARGIN_S``.
    """

    def __init__(
        self,
        records: RecordClient,
        cfg: TurnSettings,
        now: Callable[[], float] = time.time,
    ) -> None:
        self.cfg = cfg
        self._records = records
        self._now = now
        self._cache: HeldValues[Turn] = HeldValues(
            cfg.cache_bytes, lambda turn: len(turn.text)
        )

    async def load(self, turn_id: str, team: str) -> LoadedTurn:
        """Returns a turn with its chain.

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
                before = await asyncio.gather(*map(self._read, turn.chain))
        except TimeoutError as exc:
            raise Refused(TURN_UNCERTAIN) from exc
        text = b"".join([*(other.text for other in before), turn.text])
        return LoadedTurn(turn_id, turn, text)

    async def save(
        self,
        turn_id: str,
        team: str,
        text: bytes,
        previous: LoadedTurn | None,
        retention_s: float,
    ) -> None:
        """Writes a turn; returns once it will outlive the loss of hosts.

        Args:
            turn_id: Request id of the attempt that answered it.
            team: Team that it belongs to.
            text: Its own input and output.
            previous: The turn that it continues.
            retention_s: How long it is to be found.

        Raises:
            TimeoutError: It could not be written in time.
        """
        now = self._now()
        async with asyncio.timeout(self.cfg.store_patience_s):
            chain, chain_started_at = (), now
            if previous is not None:
                chain = (*previous.turn.chain, previous.turn_id)
                chain_started_at = previous.turn.chain_started_at
                if now - chain_started_at > retention_s - RETENTION_MARGIN_S:
                    chain = await self._rewrite(turn_id, team, previous, retention_s)
                    chain_started_at = now
            turn = Turn(team, chain, chain_started_at, text)
            await self._write(turn_id, turn, retention_s)

    async def _rewrite(
        self, turn_id: str, team: str, previous: LoadedTurn, retention_s: float
    ) -> tuple[str, ...]:
        """Writes the chain before a turn anew; returns the ids of its records."""
        now = self._now()
        parts = list(batched(previous.text, self.cfg.part_bytes))
        names = tuple(f"{turn_id}/{number}" for number in range(len(parts)))
        await asyncio.gather(
            *(
                self._write(name, Turn(team, (), now, part), retention_s)
                for name, part in zip(names, parts, strict=True)
            )
        )
        return names

    async def _write(self, name: str, turn: Turn, retention_s: float) -> None:
        self._cache.add(name, turn)
        await self._records.keep(
            PREFIX + name, pack_turn(turn), 2 * retention_s + RETENTION_MARGIN_S
        )

    async def _read(self, turn_id: str) -> Turn:
        turn = self._cache.get(turn_id)
        if turn is None:
            value = await self._records.fetch(PREFIX + turn_id)
            if value is None:
                raise Refused(NO_TURN)
            turn = unpack_turn(value)
            self._cache.add(turn_id, turn)
        return turn
