"""A copy of the entries under a prefix of the store."""

import abc
import asyncio
import random
from collections.abc import Callable

from loguru import logger
from mode import Service

from magnoliaroad.relay.settings import FollowSettings
from magnoliaroad.store import Store, StoreEntry, StoreError, WatchBatch


class MirrorListener(abc.ABC):
    """Is told what a mirror has read."""

    @abc.abstractmethod
    def on_snapshot(self, entries: dict[str, StoreEntry], after_loss: bool) -> None:
        """Takes all entries; ``after_loss`` if the store was out of reach before."""

    @abc.abstractmethod
    def on_batch(self, batch: WatchBatch) -> None:
        """Takes changes since the last snapshot or batch."""


class PrefixMirror(Service):
    """Lists a prefix, then watches it; lists again after each failure.

    Args:
        store: The store.
        prefix: Prefix of the keys.
        cfg: Time limits.
        listener: Is told what was read.
        close: Returns whether this host is to watch closely.

    Attributes:
        lost: Whether the last call failed.
    """

    def __init__(
        self,
        store: Store,
        prefix: str,
        cfg: FollowSettings,
        listener: MirrorListener,
        close: Callable[[], bool],
    ) -> None:
        super().__init__()
        self.cfg = cfg
        self.revision = 0
        self._store = store
        self._prefix = prefix
        self._listener = listener
        self._close = close
        self.lost = False
        self._pause_s = cfg.retry_s

    @Service.task
    async def _follow(self) -> None:
        while not self.should_stop:
            try:
                if not self.revision:
                    await self._list()
                await self._watch()
            except StoreError as exc:
                await self._rest(exc)

    async def _list(self) -> None:
        batch = await self._store.list(self._prefix)
        entries = {entry.key: entry for entry in batch.changed}
        if self.lost:
            logger.bind(prefix=self._prefix, revision=batch.revision).info(
                "store regained"
            )
        self._listener.on_snapshot(entries, self.lost)
        self.revision = batch.revision
        self.lost = False
        self._pause_s = self.cfg.retry_s

    async def _watch(self) -> None:
        limit_s = self.cfg.watch_s if self._close() else self.cfg.idle_watch_s
        batch = await self._store.watch(self._prefix, self.revision, limit_s)
        if batch.changed or batch.deleted:
            self._listener.on_batch(batch)
        self.revision = batch.revision

    async def _rest(self, exc: StoreError) -> None:
        if not self.lost:
            logger.bind(
                prefix=self._prefix, revision=self.revision, reason=str(exc)
            ).warning("store lost")
        self.lost = True
        self.revision = 0
        # Spread, so that the hosts do not come back together.
        await asyncio.sleep(self._pause_s * random.uniform(0.5, 1.0))
        self._pause_s = min(self.cfg.retry_limit_s, self._pause_s * 2)
