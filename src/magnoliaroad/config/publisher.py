"""Reads and writes the accepted configuration in the store."""

import asyncio
import time
from collections.abc import Awaitable, Callable, Iterable
from typing import Any

from magnoliaroad.batched import batched
from magnoliaroad.config.accepted import AcceptedConfig
from magnoliaroad.config.change import MAX_CHANGED_ITEMS, Change
from magnoliaroad.config.diff import diff_configs, summarise
from magnoliaroad.config.document import Config
from magnoliaroad.config.head import HEAD_KEY, ConfigHead, pack_head, unpack_head
from magnoliaroad.config.part_ref import PARTS_PREFIX, PartRef, parse_part_key
from magnoliaroad.config.proposal import Proposal, propose, select_unused
from magnoliaroad.config.replica import ConfigReplica
from magnoliaroad.store import (
    Store,
    StoreConflict,
    StoreEntry,
    StoreError,
    StoreRateLimited,
    StoreUnavailable,
)

Sleep = Callable[[float], Awaitable[None]]

MAX_ATTEMPTS = 12
RETRY_DELAY_S = 0.5
MAX_CONCURRENT_PARTS = 8
SWEEP_EVERY_REVISIONS = 64


class Publisher:
    """Reads and writes the accepted configuration for an operator.

    Args:
        store: The store.
        author: Author recorded in the history.
        sleep: Called with the seconds to wait between attempts.
    """

    def __init__(
        self, store: Store, author: str = "", sleep: Sleep = asyncio.sleep
    ) -> None:
        self.store = store
        self.author = author
        self._sleep = sleep

    async def read_head(self) -> ConfigHead:
        """Returns the accepted head.

        Raises:
            StoreError: The store did not answer.
            ValueError: The store's entry is not a head.
        """
        entry = await self._retry(lambda: self.store.get(HEAD_KEY))
        return ConfigHead() if entry is None else unpack_head(entry.value)

    async def read(self) -> AcceptedConfig:
        """Returns the accepted configuration.

        Raises:
            StoreError: The store did not answer.
            ValueError: The store's entries are not a configuration.
        """
        for _ in range(MAX_ATTEMPTS):
            entry = await self._retry(lambda: self.store.get(HEAD_KEY))
            if entry is None:
                return AcceptedConfig(Config(), ConfigHead(), 0)
            head = unpack_head(entry.value)
            config = await self._read_parts(head)
            if config is not None:
                return AcceptedConfig(config, head, entry.revision)
        raise StoreUnavailable("parts of the configuration are missing in the store")

    async def write(
        self, base: AcceptedConfig, config: Config, operation: str, above: int = 0
    ) -> AcceptedConfig:
        """Writes ``config`` as the next revision, atomically and at most once.

        Args:
            base: Accepted configuration that the change is based on.
            config: The configuration after the change.
            operation: Unique id of the operator's command.
            above: Lower bound, exclusive, of the new revision; needed when hosts
                serve a revision that the store has lost.

        All attempts expect the same store revision of the head, so at most one of
        them takes effect. If the response of a successful attempt is lost, the
        conflict of the next one shows a head that lists ``operation``.

        Raises:
            StoreConflict: Another change was accepted in the meantime; nothing has
                changed.
            StoreError: The write failed; the error's verdict states whether the change
                may take effect.
        """
        change = self._build_change(base, config, operation)
        revision = max(base.head.revision, above) + 1
        proposal = propose(base, config, change._replace(revision=revision))
        try:
            await self._write_parts(proposal)
            store_revision = await self._write_head(base, proposal, operation)
        except StoreConflict:
            await self._delete_unused(ref for ref, _ in proposal.parts)
            raise
        await self._delete_unused(proposal.unused)
        if proposal.head.revision % SWEEP_EVERY_REVISIONS == 0:
            await self.delete_unreferenced_parts()
        new = config._replace(revision=proposal.head.revision)
        return AcceptedConfig(new, proposal.head, store_revision)

    async def delete_unreferenced_parts(self) -> int:
        """Deletes parts that no head can reference; returns how many.

        Such parts remain when an operator's command dies before writing the head.
        """
        try:
            batch = await self.store.list(PARTS_PREFIX)
        except StoreError:
            return 0
        return await self._delete_unused(
            parse_part_key(entry.key) for entry in batch.changed
        )

    async def _delete_unused(self, refs: Iterable[PartRef]) -> int:
        try:
            entry = await self.store.get(HEAD_KEY)
            if entry is None:
                return 0
            unused = select_unused(unpack_head(entry.value), refs)
            for ref in unused:
                await self.store.delete(ref.key)
        except (StoreError, ValueError):
            return 0
        return len(unused)

    async def _read_parts(self, head: ConfigHead) -> Config | None:
        replica = ConfigReplica()
        for refs in batched(head.parts, MAX_CONCURRENT_PARTS):
            entries = await asyncio.gather(*map(self._read_part, refs))
            for entry in entries:
                if entry is None:
                    return None
                replica.add(entry.value)
        replica.install(head)
        return replica.current

    async def _read_part(self, ref: PartRef) -> StoreEntry | None:
        return await self._retry(lambda: self.store.get(ref.key))

    async def _write_parts(self, proposal: Proposal) -> None:
        for batch in batched(proposal.parts, MAX_CONCURRENT_PARTS):
            await asyncio.gather(*(self._write_part(*part) for part in batch))

    async def _write_part(self, ref: PartRef, data: bytes) -> None:
        await self._retry(lambda: self.store.put(ref.key, data))

    async def _write_head(
        self, base: AcceptedConfig, proposal: Proposal, operation: str
    ) -> int:
        data = pack_head(proposal.head)
        try:
            return await self._retry(
                lambda: self.store.put(HEAD_KEY, data, expected=base.store_revision)
            )
        except StoreConflict as exc:
            if exc.current is None or not _contains_operation(exc.current, operation):
                raise
            return exc.current.revision

    async def _retry(self, call: Callable[[], Awaitable[Any]]) -> Any:
        uncertain = False
        for _ in range(MAX_ATTEMPTS):
            try:
                return await call()
            except StoreUnavailable:
                uncertain = True
            except StoreRateLimited as exc:
                last = exc
            await self._sleep(RETRY_DELAY_S)
        raise (
            StoreUnavailable(f"no response in {MAX_ATTEMPTS} attempts")
            if uncertain
            else last
        )

    def _build_change(
        self, base: AcceptedConfig, config: Config, operation: str
    ) -> Change:
        changes = diff_configs(base.config, config)
        changed_items = tuple(change.item for change in changes)
        return Change(
            revision=base.head.revision + 1,
            operation=operation,
            author=self.author,
            at=time.time(),
            summary=summarise(changes),
            changed_items=changed_items
            if len(changed_items) <= MAX_CHANGED_ITEMS
            else (),
        )


def _contains_operation(entry: StoreEntry, operation: str) -> bool:
    return unpack_head(entry.value).has_operation(operation)
