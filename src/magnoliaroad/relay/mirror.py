"""Mirrors of the entries under a prefix of the store."""

import abc
import asyncio
import functools
import random
from collections.abc import Callable, Iterator

from loguru import logger
from mode import Service

from magnoliaroad.background import background_task
from magnoliaroad.relay.settings import FollowSettings
from magnoliaroad.store import (
    HistoryGone,
    Store,
    StoreEntry,
    StoreError,
    StoreUnavailable,
    WatchBatch,
)

# Most keys of a batch in a log line.
MAX_LOGGED_KEYS = 3


class MirrorListener(abc.ABC):
    """Receives the entries and changes that a mirror reads."""

    @abc.abstractmethod
    def on_snapshot(
        self, entries: dict[str, StoreEntry], revision: int, after_loss: bool
    ) -> None:
        """Handles a listing of all entries.

        Args:
            entries: The entries by key.
            revision: Revision of the store at which they were read.
            after_loss: Whether calls on the store have failed since an earlier listing,
                so that it may have been out of reach.
        """

    @abc.abstractmethod
    def on_batch(self, batch: WatchBatch) -> None:
        """Handles changes since the last snapshot or batch."""


class MirrorListeners(MirrorListener):
    """Passes what one mirror reads on to several listeners.

    One that fails does not keep the others from getting it.

    Args:
        listeners: The listeners, in the order in which they are called.
    """

    def __init__(self, *listeners: MirrorListener) -> None:
        self._listeners = listeners

    def on_snapshot(
        self, entries: dict[str, StoreEntry], revision: int, after_loss: bool
    ) -> None:
        """Passes a listing on; raises what the listeners have raised."""
        self._call_all(lambda one: one.on_snapshot(entries, revision, after_loss))

    def on_batch(self, batch: WatchBatch) -> None:
        """Passes changes on; raises what the listeners have raised."""
        self._call_all(lambda one: one.on_batch(batch))

    def _call_all(self, call: Callable[[MirrorListener], None]) -> None:
        errors = []
        for listener in self._listeners:
            try:
                call(listener)
            except Exception as exc:
                errors.append(exc)
        if errors:
            raise ExceptionGroup("entries not applied by all listeners", errors)


class PrefixMirror(Service):
    """Lists a prefix, and watches it while ``following`` is set.

    Hosts that do not watch get changes from peers that do. The prefix is listed again
    after a failure and whenever ``following`` is set again.

    Args:
        store: The store.
        prefix: Prefix of the keys.
        cfg: Time limits.
        listener: Receives the entries and changes.
        following: Set while the prefix is to be watched.
        short_watches: Returns whether watches use the shorter time limit.
    """

    def __init__(
        self,
        store: Store,
        prefix: str,
        cfg: FollowSettings,
        listener: MirrorListener,
        following: asyncio.Event,
        short_watches: Callable[[], bool],
    ) -> None:
        super().__init__()
        self.cfg = cfg
        self.revision = 0
        self._store = store
        self._prefix = prefix
        self._listener = listener
        self._following = following
        self._short_watches = short_watches
        self._listed = False
        self._newest_revision = 0
        self._failed = False
        self._pause_s = cfg.retry_s

    @background_task
    async def _follow(self) -> None:
        while not self.should_stop:
            if self._listed and not self._following.is_set():
                self.revision = 0
                await self._following.wait()
            try:
                if not self.revision:
                    await self._list()
                else:
                    await self._watch()
            except StoreError as exc:
                await self._back_off(exc)

    async def _list(self) -> None:
        batch = await self._store.list(self._prefix)
        newest, self._newest_revision = self._newest_revision, batch.revision
        if batch.revision < newest:
            # An answer of an older state, unless the next one is no newer: then the
            # store was restored.
            raise StoreUnavailable(f"revision {batch.revision} after {newest}")
        entries = {entry.key: entry for entry in batch.changed}
        logger.bind(
            prefix=self._prefix, revision=batch.revision, entries=len(entries)
        ).info("entries listed")
        after_loss = self._listed and self._failed

        def deliver() -> None:
            self._listener.on_snapshot(entries, batch.revision, after_loss)

        if not self._deliver(batch, deliver):
            # Now without the changes that fail, to drop what is missing in the list.
            self._try_to_deliver(batch, deliver)
        self.revision = batch.revision
        self._listed = True
        self._failed = False
        self._pause_s = self.cfg.retry_s

    async def _watch(self) -> None:
        limit_s = self.cfg.watch_s if self._short_watches() else self.cfg.long_watch_s
        loop = asyncio.get_running_loop()
        began = loop.time()
        batch = await self._store.watch(self._prefix, self.revision, limit_s)
        has_changes = batch.changed or batch.deleted
        if has_changes:
            self._deliver(batch, lambda: self._listener.on_batch(batch))
        self.revision = self._newest_revision = batch.revision
        if not has_changes and loop.time() - began < self.cfg.retry_s:
            # A store may end watches early, even all of them.
            await asyncio.sleep(self.cfg.retry_s * random.uniform(0.5, 1.0))

    def _deliver(self, batch: WatchBatch, deliver: Callable[[], None]) -> bool:
        """Delivers a batch; returns whether the listener has taken it as a whole.

        If it fails, each change is delivered by itself: one that fails must not hold up
        the others, nor those that follow.
        """
        if self._try_to_deliver(batch, deliver):
            return True
        for change in _single_changes(batch):
            self._try_to_deliver(
                change, functools.partial(self._listener.on_batch, change)
            )
        return False

    def _try_to_deliver(self, batch: WatchBatch, deliver: Callable[[], None]) -> bool:
        try:
            deliver()
        except Exception as exc:
            keys = [entry.key for entry in batch.changed] + list(batch.deleted)
            logger.bind(
                prefix=self._prefix, keys=keys[:MAX_LOGGED_KEYS], changes=len(keys)
            ).opt(exception=exc).error("entries not applied")
            return False
        return True

    async def _back_off(self, exc: StoreError) -> None:
        logger.bind(
            prefix=self._prefix, revision=self.revision, reason=str(exc)
        ).warning("entries not followed")
        self.revision = 0
        # A store that has discarded its history was in reach.
        self._failed = self._failed or not isinstance(exc, HistoryGone)
        # Jitter, so that hosts do not all retry at the same time.
        await asyncio.sleep(self._pause_s * random.uniform(0.5, 1.0))
        self._pause_s = min(self.cfg.retry_limit_s, self._pause_s * 2)


def _single_changes(batch: WatchBatch) -> Iterator[WatchBatch]:
    """Yields the changes of a batch one by one."""
    for entry in batch.changed:
        yield WatchBatch((entry,), (), batch.revision)
    for key in batch.deleted:
        yield WatchBatch((), (key,), batch.revision)
