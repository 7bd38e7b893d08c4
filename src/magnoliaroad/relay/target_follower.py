"""Keeps the table of targets in line with the entries in the store."""

import asyncio
import math
import time
from collections.abc import Callable, Mapping, Sequence

from loguru import logger

from magnoliaroad.relay.entry_decoder import BadEntry, EntryDecoder
from magnoliaroad.relay.fleet_messages import TargetsReply
from magnoliaroad.relay.mirror import MirrorListener
from magnoliaroad.relay.target import RelayTarget, TargetState
from magnoliaroad.relay.target_table import TargetTable
from magnoliaroad.store import StoreEntry, WatchBatch


class TargetFollower(MirrorListener):
    """Applies the targets' entries to a table.

    Leases of entries may expire while the store is unavailable, although the targets
    still run. Once the store is available again, a missing entry has a grace period of
    ``grace_s`` to return before its target is dropped. Without such a time it was
    removed, also if this host has just begun to watch the store.

    Args:
        decoder: Decodes the entries.
        table: The table.
        grace_s: Length of the grace period, in seconds.
        now: Clock in seconds.
        store_lost_at: Returns the time at which the store was last known to be out of
            reach, by ``now``.

    Attributes:
        listed: Whether all entries were read at least once.
        listed_at: Time at which they were last read, in seconds.
        revision: Revision of the newest change that was applied.
        grace_pending: Is set while the grace period of any target runs.
        on_target_lost: Is called with a target whose entry was removed, or that has
            restarted, without having announced that it leaves.
    """

    def __init__(
        self,
        decoder: EntryDecoder,
        table: TargetTable,
        grace_s: float,
        now: Callable[[], float] = time.monotonic,
        store_lost_at: Callable[[], float] = lambda: -math.inf,
    ) -> None:
        self.listed = False
        self.listed_at = -math.inf
        self.grace_pending = asyncio.Event()
        self.on_target_lost: Callable[[RelayTarget], None] = lambda target: None
        self.revision = 0
        self._entries: dict[str, StoreEntry] = {}
        self._decoder = decoder
        self._table = table
        self._grace_s = grace_s
        self._now = now
        self._store_lost_at = store_lost_at
        self._grace_deadlines: dict[str, float] = {}
        self._grace_until = 0.0
        self._snapshot_revision = 0

    def on_snapshot(
        self, entries: dict[str, StoreEntry], revision: int, after_loss: bool
    ) -> None:
        """Applies a full list; drops missing targets now or after the grace period."""
        self.listed = True
        self._snapshot_revision = revision
        now = self.listed_at = self._now()
        lost_at = now if after_loss else self._store_lost_at()
        self._grace_until = max(self._grace_until, lost_at + self._grace_s)
        for entry in entries.values():
            self._set(entry)
        missing = self._entries.keys() - entries.keys()
        for key in missing:
            self._remove(key, now)
        if missing and now >= self._grace_until:
            self.revision = max(self.revision, revision)

    def on_batch(self, batch: WatchBatch) -> None:
        """Applies changed and removed entries."""
        now = self._now()
        for entry in batch.changed:
            self._set(entry)
        for key in batch.deleted:
            known = self._entries.get(key)
            if known is None or known.revision <= batch.revision:
                self._remove(key, now)
        if batch.deleted:
            self.revision = max(self.revision, batch.revision)

    def export_entries(self) -> TargetsReply:
        """Returns the entries of this host, for a peer with an older revision."""
        now, prefix = self._now(), self._decoder.target_prefix
        grace_left_s = {
            prefix + name: until - now for name, until in self._grace_deadlines.items()
        }
        entries = [tuple(entry) for entry in self._entries.values()]
        return TargetsReply(self.revision, entries, grace_left_s)

    def merge_entries(
        self,
        revision: int,
        entries: Sequence[tuple[str, bytes, int]],
        grace_left_s: Mapping[str, float],
    ) -> None:
        """Merges the entries of a peer that has a newer revision than this host.

        An entry that the peer lacks was removed if this host's copy is older than the
        peer's revision. An entry in its grace period at the peer gets the same deadline
        here, or stays absent if this host does not have it.
        """
        if revision <= self.revision:
            return
        now = self._now()
        received = {key: StoreEntry(key, value, at) for key, value, at in entries}
        for key, entry in received.items():
            if key not in grace_left_s:
                self._set(entry)
            elif key in self._entries:
                self._start_grace(self._name(key), now + grace_left_s[key])
        for key, known in list(self._entries.items()):
            if key not in received and known.revision < revision:
                self._remove(key, now)
        self.revision = max(self.revision, revision)

    def sweep(self) -> None:
        """Drops targets whose grace period has passed."""
        now = self._now()
        for name, until in list(self._grace_deadlines.items()):
            if until <= now:
                del self._grace_deadlines[name]
                self._entries.pop(self._decoder.target_prefix + name, None)
                # Makes peers that did not list the entries themselves fetch them.
                self.revision = max(self.revision, self._snapshot_revision)
                self._drop(name, "entry did not return after the store was unavailable")

        if not self._grace_deadlines:
            self.grace_pending.clear()

    def _start_grace(self, name: str, until: float) -> None:
        self._grace_deadlines.setdefault(name, until)
        self.grace_pending.set()

    def _set(self, entry: StoreEntry) -> None:
        known = self._entries.get(entry.key)
        name = self._name(entry.key)
        self._grace_deadlines.pop(name, None)
        if known is not None and known.revision >= entry.revision:
            return
        self._entries[entry.key] = entry
        self.revision = max(self.revision, entry.revision)
        try:
            target = self._decoder.read_target(entry.key, entry.value)
        except BadEntry as exc:
            logger.bind(key=entry.key, reason=str(exc)).warning("target entry refused")
            self._drop(name, "entry cannot be decoded")
            return
        before = self._table.targets.get(name)
        if self._table.cold.record_entry(target, self._now()):
            logger.bind(
                target=name,
                started_ms=target.started_ms,
                cold_s=target.cold_s,
                revision=entry.revision,
            ).info("target cold" if target.cold_s else "target warm")
        if before is not None and before.started_ms != target.started_ms:
            self._report_lost(before)
        if before != target:
            self._table.set(target)
            logger.bind(
                target=name,
                service=target.service,
                state=target.state.value,
                version=target.version,
                started_ms=target.started_ms,
                before=None if before is None else before.state.value,
                revision=entry.revision,
            ).info("target")

    def _remove(self, key: str, now: float) -> None:
        name = self._name(key)
        if now < self._grace_until:
            self._start_grace(name, self._grace_until)
            return
        self._entries.pop(key, None)
        self._drop(name, "entry removed")

    def _drop(self, name: str, reason: str) -> None:
        if name in self._table.targets:
            self._report_lost(self._table.targets[name])
            self._table.remove(name)
            logger.bind(target=name, reason=reason).info("target gone")

    def _report_lost(self, target: RelayTarget) -> None:
        is_leaving = target in self._table.leaving
        if target.state is not TargetState.READY or is_leaving:
            return
        try:
            self.on_target_lost(target)
        except Exception as exc:
            # The table must follow the store nevertheless.
            logger.bind(target=target.name).opt(exception=exc).error(
                "lost target not reported"
            )

    def _name(self, key: str) -> str:
        return key.removeprefix(self._decoder.target_prefix)
