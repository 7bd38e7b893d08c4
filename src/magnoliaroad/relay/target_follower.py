"""Keeps the table of targets as the store lists them."""

import time
from collections.abc import Callable

from loguru import logger

from magnoliaroad.relay.directory import BadEntry, Directory
from magnoliaroad.relay.mirror import MirrorListener
from magnoliaroad.relay.target_table import TargetTable
from magnoliaroad.store import StoreEntry, WatchBatch


class TargetFollower(MirrorListener):
    """Applies the targets' entries to a table.

    Entries may lapse while the store is away, although their targets live. After
    the store is back, a missing entry has ``grace_s`` to return.

    Attributes:
        known: Whether the list was read at least once.
    """

    def __init__(
        self,
        directory: Directory,
        table: TargetTable,
        grace_s: float,
        now: Callable[[], float] = time.monotonic,
    ) -> None:
        self.known = False
        self._directory = directory
        self._table = table
        self._grace_s = grace_s
        self._now = now
        self._lapsing: dict[str, float] = {}
        self._grace_until = 0.0

    def on_snapshot(self, entries: dict[str, StoreEntry], after_loss: bool) -> None:
        """Takes all entries; missing ones go at once or after the grace."""
        self.known = True
        now = self._now()
        if after_loss:
            self._grace_until = now + self._grace_s
        for entry in entries.values():
            self._set(entry)
        listed = {self._name(key) for key in entries}
        for name in list(self._table.targets):
            if name not in listed:
                self._remove(name, now)

    def on_batch(self, batch: WatchBatch) -> None:
        """Takes changed and removed entries."""
        now = self._now()
        for entry in batch.changed:
            self._set(entry)
        for key in batch.deleted:
            self._remove(self._name(key), now)

    def sweep(self) -> None:
        """Drops targets whose entries did not return in time."""
        now = self._now()
        for name, until in list(self._lapsing.items()):
            if until <= now:
                del self._lapsing[name]
                self._drop(name, "did not return after the store was away")

    def _set(self, entry: StoreEntry) -> None:
        name = self._name(entry.key)
        try:
            target = self._directory.read_target(entry.key, entry.value)
        except BadEntry as exc:
            logger.bind(key=entry.key, reason=str(exc)).warning("target entry refused")
            self._drop(name, "its entry cannot be read")
            return
        self._lapsing.pop(name, None)
        before = self._table.targets.get(name)
        if before != target:
            self._table.set(target)
            logger.bind(
                target=name,
                service=target.service,
                state=target.state.value,
                before=None if before is None else before.state.value,
                revision=entry.revision,
            ).info("target")

    def _remove(self, name: str, now: float) -> None:
        if now < self._grace_until:
            self._lapsing.setdefault(name, self._grace_until)
        else:
            self._drop(name, "removed")

    def _drop(self, name: str, reason: str) -> None:
        if name in self._table.targets:
            self._table.drop(name)
            logger.bind(target=name, reason=reason).info("target gone")

    def _name(self, key: str) -> str:
        return key.removeprefix(self._directory.target_prefix)
