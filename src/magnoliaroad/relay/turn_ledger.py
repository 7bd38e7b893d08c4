"""Stores answered turns as records and loads them with their chains."""

import asyncio
import itertools
import time
from collections.abc import Callable, Coroutine, Iterable, Sequence
from typing import Any, NamedTuple

from loguru import logger

from magnoliaroad.batched import batched
from magnoliaroad.byte_slots import ByteSlots
from magnoliaroad.records.client import RecordClient
from magnoliaroad.records.lru_cache import LruCache
from magnoliaroad.records.shared_reads import SharedReads
from magnoliaroad.refusal import Refused
from magnoliaroad.relay.refusals import NO_TURN, TURN_UNCERTAIN
from magnoliaroad.relay.settings import TurnSettings
from magnoliaroad.relay.turn import LoadedTurn, Turn, pack_turn, unpack_turn
from magnoliaroad.stall_timeout import stall_timeout
from magnoliaroad.store.keys import key_of
from magnoliaroad.store.leases import MAX_RETENTION_S

PREFIX = "turns/"
# Follows the id of a turn in the ids of the parts of its own text; those of the chain
# before it follow the id itself.
OWN_SUFFIX = "/own"
# Time that a record is kept beyond its retention, in seconds; covers clock steps and
# differences between the hosts' clocks.
RETENTION_MARGIN_S = 5.0


class TurnLedger:
    """Stores turns as immutable records that any host may read or write.

    A turn's record holds its own text and the ids of the earlier records in its chain.
    A text that is too large for one record is divided; its first parts become records
    of the chain. Records are kept for twice the retention of the route that answered
    them, and state until when all of their chain is kept. A turn writes the whole chain
    again if it is not kept until the end of the turn's own retention.

    Args:
        records: Stores the turns' records.
        cfg: Sizes and time limits.
        now: Returns the time of day in seconds; hosts' clocks differ by less than
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
        self._cache: LruCache[Turn] = LruCache(
            cfg.cache_bytes, lambda turn: len(turn.text)
        )
        self._writing = ByteSlots(cfg.writing_bytes)
        self._reads: SharedReads[_RecordName, Turn | None] = SharedReads(
            self._read_record
        )

    @property
    def cached_bytes(self) -> int:
        """Size of the turns that were read or written recently."""
        return self._cache.size

    @property
    def data_centres(self) -> set[str]:
        """The data centres of the hosts that keep records."""
        return {address.data_centre for address in self._records.hosts.values()}

    async def load(
        self,
        turn_id: str,
        team: str,
        hold: Callable[[int], None] = lambda size: None,
        in_store_only: bool = False,
    ) -> LoadedTurn:
        """Returns a turn with its chain.

        Args:
            turn_id: Request id of the attempt that answered it.
            team: Team that asks for it.
            hold: Counts the bytes of the chain's records and of the chain as a whole;
                may refuse.
            in_store_only: Whether no other host may see it.

        Raises:
            Refused: There is no such turn of ``team``, or it could not be looked up.
        """
        try:
            async with asyncio.timeout(self.cfg.store_patience_s):
                turn = await self._read(turn_id, in_store_only)
                if turn.team != team:
                    logger.bind(turn=turn_id, team=team, holder=turn.team).warning(
                        "turn of another team"
                    )
                    raise Refused(NO_TURN)
                hold(len(turn.text))
                # Large parts are counted before they are asked for.
                full = _full_parts(turn.chain)
                full_bytes = len(full) * self.cfg.part_bytes
                hold(2 * full_bytes)
                before = await self._read_chain(
                    turn_id,
                    turn,
                    lambda name, size: None if name in full else hold(size),
                    in_store_only,
                )
        except TimeoutError as exc:
            raise Refused(TURN_UNCERTAIN) from exc
        texts = [*(other.text for other in before), turn.text]
        hold(max(0, sum(map(len, texts)) - full_bytes))
        text = b"".join(texts)
        return LoadedTurn(turn_id, turn, text)

    def can_save(self, in_store_only: bool = False) -> bool:
        """Returns whether a turn that ends now may become durable.

        Args:
            in_store_only: Whether no other host may see it.
        """
        return self._records.can_keep(in_store_only)

    async def save(
        self,
        turn_id: str,
        team: str,
        text: bytes,
        previous: LoadedTurn | None,
        retention_s: float,
        in_store_only: bool = False,
        regions: tuple[str, ...] = (),
    ) -> None:
        """Writes a turn; returns once it is durable against the loss of hosts.

        Args:
            turn_id: Request id of the attempt that answered it.
            team: Team that it belongs to.
            text: Its own input and output.
            previous: The turn that it continues.
            retention_s: Time for which it can be loaded, in seconds.
            in_store_only: Whether no other host may see it.
            regions: Regions to which it and its chain are bound; all if empty.

        Raises:
            TimeoutError: It was not written within the time limit.
        """
        now = self._now()
        async with stall_timeout(self.cfg.store_patience_s):
            chain, kept_until = (), now + _lifetime_s(retention_s)
            if previous is not None:
                needed_until = now + retention_s + 2 * RETENTION_MARGIN_S
                if previous.turn.kept_until >= needed_until:
                    chain = (*previous.turn.chain, previous.turn_id)
                    kept_until = min(kept_until, previous.turn.kept_until)
                else:
                    parts = list(batched(previous.text, self.cfg.part_bytes))
                    chain = await self._write_parts(
                        turn_id, team, parts, retention_s, in_store_only
                    )
            *parts, rest = list(batched(text, self.cfg.part_bytes)) or [b""]
            own_id = turn_id + OWN_SUFFIX
            chain += await self._write_parts(
                own_id, team, parts, retention_s, in_store_only
            )
            turn = Turn(team, chain, kept_until, rest, regions)
            await self._write(turn_id, turn, retention_s, in_store_only)

    async def _write_parts(
        self,
        base_id: str,
        team: str,
        parts: Sequence[bytes],
        retention_s: float,
        in_store_only: bool,
    ) -> tuple[str, ...]:
        """Writes parts of a text as records of their own; returns their ids."""
        kept_until = self._now() + _lifetime_s(retention_s)
        names = tuple(_part_name(base_id, number) for number in range(len(parts)))
        await asyncio.gather(
            *(
                self._write(
                    name, Turn(team, (), kept_until, part), retention_s, in_store_only
                )
                for name, part in zip(names, parts, strict=True)
            )
        )
        return names

    async def _write(
        self, name: str, turn: Turn, retention_s: float, in_store_only: bool
    ) -> None:
        self._cache.add(name, turn)
        key, lifetime_s = key_of(PREFIX, name), _lifetime_s(retention_s)
        if len(turn.text) <= self.cfg.small_bytes:
            await self._records.keep(key, pack_turn(turn), lifetime_s, in_store_only)
            return
        async with self._writing.hold(len(turn.text)):
            await self._records.keep(key, pack_turn(turn), lifetime_s, in_store_only)

    async def _read_chain(
        self,
        turn_id: str,
        turn: Turn,
        hold: Callable[[str, int], None],
        in_store_only: bool,
    ) -> list[Turn]:
        async def read(name: str) -> Turn:
            part = await self._read(name, in_store_only)
            hold(name, len(part.text))
            return part

        before: list[Turn] = []
        for ids in batched(turn.chain, self.cfg.chain_reads):
            try:
                before += await _gather(map(read, ids))
            except Refused as exc:
                if exc.refusal is NO_TURN:
                    # Usual only for a turn that is older than its retention.
                    logger.bind(
                        turn=turn_id,
                        records=len(turn.chain),
                        kept_s=round(turn.kept_until - self._now(), 1),
                    ).warning("chain of a turn not complete")
                raise
        return before

    async def _read(self, name: str, in_store_only: bool) -> Turn:
        turn = self._cache.get(name)
        if turn is None:
            turn = await self._reads.get(_RecordName(name, in_store_only))
        if turn is None:
            raise Refused(NO_TURN)
        return turn

    async def _read_record(self, record: "_RecordName") -> Turn | None:
        """Returns a record from where it is kept; ``None`` if it is absent."""
        key = key_of(PREFIX, record.name)
        value = await self._records.fetch(key, record.in_store_only)
        if value is None:
            return None
        try:
            turn = unpack_turn(value)
        except ValueError as exc:
            raise Refused(TURN_UNCERTAIN, reason=f"record: {exc}") from exc
        self._cache.add(record.name, turn)
        return turn


class _RecordName(NamedTuple):
    """Names a record that is read.

    Attributes:
        name: Id of a turn, or of a part of its text.
        in_store_only: Whether no other host may see it.
    """

    name: str
    in_store_only: bool


def _part_name(base_id: str, number: int) -> str:
    """Returns the name of a part of a text."""
    return f"{base_id}/{number}"


def _full_parts(chain: Sequence[str]) -> set[str]:
    """Returns which records of a chain are parts of the largest size, by their names.

    The last part of a chain that was written again may be small.
    """
    full = set()
    for name, following in itertools.zip_longest(chain, chain[1:], fillvalue=""):
        base, _, number = name.rpartition("/")
        if not (base and number.isdecimal()):
            continue
        is_last = following != _part_name(base, int(number) + 1)
        if base.endswith(OWN_SUFFIX) or not is_last:
            full.add(name)
    return full


async def _gather(reads: Iterable[Coroutine[Any, Any, Turn]]) -> list[Turn]:
    """Returns what all reads return; cancels the others if one fails."""
    tasks = [asyncio.ensure_future(read) for read in reads]
    try:
        return await asyncio.gather(*tasks)
    finally:
        for task in tasks:
            task.cancel()


def _lifetime_s(retention_s: float) -> float:
    """Returns the time for which a turn's records are stored, in seconds."""
    return min(2 * retention_s + RETENTION_MARGIN_S, MAX_RETENTION_S)
