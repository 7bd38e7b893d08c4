"""Watches the memory of the process."""

import asyncio
import contextlib
import gc
import time
from collections.abc import Callable, Sequence

from loguru import logger
from mode import Service

from magnoliaroad.allocator import return_free_pages
from magnoliaroad.background import background_task
from magnoliaroad.memory.holder import MemoryHolder
from magnoliaroad.memory.metrics import COLLECTIONS, HELD, RESIDENT, SHED
from magnoliaroad.memory.policy import MemoryPolicy, MemoryStep
from magnoliaroad.memory.resident import resident_bytes
from magnoliaroad.memory.settings import MemorySettings
from magnoliaroad.memory.unread import unread_bytes


class MemoryWatch(Service):
    """Reports the memory of the process, collects garbage and sheds what is largest.

    The interpreter collects garbage by the number of objects, of which a few may hold
    large buffers. A process that comes near its limit gives up what it can, as the
    platform would end it with everything that it holds.

    Args:
        cfg: Limit of the process and parts of it.
        holders: Parts of the process that know what they hold.
        read_resident: Returns the resident memory, in bytes.
        read_unread: Returns how many bytes have arrived and were not read.
    """

    def __init__(
        self,
        cfg: MemorySettings,
        holders: Sequence[MemoryHolder],
        read_resident: Callable[[], int] = resident_bytes,
        read_unread: Callable[[], int] = unread_bytes,
    ) -> None:
        super().__init__()
        self.cfg = cfg
        self._holders = holders
        self._read_resident = read_resident
        self._read_unread = read_unread
        self._policy = MemoryPolicy(cfg)
        self._next_log_at = 0.0
        self._readable = True
        self._has_shed = False

    @background_task
    async def _watch(self) -> None:
        while not self.should_stop:
            resident = self._read()
            if resident is not None:
                self._check(resident)
            await asyncio.sleep(self.cfg.check_interval_s)

    def _read(self) -> int | None:
        """Returns the resident memory; ``None`` while it cannot be read."""
        try:
            resident = self._read_resident()
        except (OSError, ValueError) as exc:
            # A host without descriptors cannot read it for a while.
            if self._readable:
                logger.bind(reason=str(exc)).warning("memory is not watched")
            self._readable = False
            return None
        self._readable = True
        return resident

    def _count_unread(self, resident: int) -> int:
        if resident < self.cfg.unread_from_fraction * self.cfg.limit_bytes:
            return 0
        # A process without descriptors cannot list them.
        with contextlib.suppress(OSError):
            return self._read_unread()
        return 0

    def _check(self, resident: int) -> None:
        unread = self._count_unread(resident)
        step = self._policy.step(resident, unread)
        if step is MemoryStep.COLLECT:
            gc.collect()
            COLLECTIONS.inc({})
        # What was given up is freed as the connections end, after the check that did.
        must_trim = step is not MemoryStep.NONE or self._has_shed
        if self._policy.should_trim(resident) or must_trim:
            return_free_pages()
            self._has_shed = False
            resident = self._read_resident()
            self._policy.trimmed(resident)
        if step is MemoryStep.COLLECT:
            self._policy.collected(resident)
        if resident >= self.cfg.high_fraction * self.cfg.limit_bytes:
            self._report(resident)
        if self._policy.step(resident, unread) is MemoryStep.SHED:
            self._shed(resident, unread)
        RESIDENT.set({}, resident)

    def _shed(self, resident: int, unread: int) -> None:
        """Gives up memory, first of the holders that hold most."""
        used = resident + unread
        self._policy.shed(used)
        self._has_shed = True
        excess = self._policy.excess(used)
        for holder in sorted(self._holders, key=lambda h: -h.held_bytes()):
            shed = _shed_of(holder, excess)
            if shed:
                SHED.add({"holder": holder.name}, shed)
                logger.bind(
                    holder=holder.name,
                    shed=shed,
                    resident=resident,
                    unread=unread,
                    limit=self.cfg.limit_bytes,
                ).warning("memory given up")
            excess -= shed
            if excess <= 0:
                return

    def _report(self, resident: int) -> None:
        """Logs who holds the memory, once in ``log_interval_s``."""
        now = time.monotonic()
        if now < self._next_log_at:
            return
        self._next_log_at = now + self.cfg.log_interval_s
        held = {holder.name: holder.held_bytes() for holder in self._holders}
        for name, size in held.items():
            HELD.set({"holder": name}, size)
        logger.bind(
            resident=resident,
            limit=self.cfg.limit_bytes,
            held=held,
            rest=resident - sum(held.values()),
        ).info("memory high")


def _shed_of(holder: MemoryHolder, size: int) -> int:
    """Lets a holder give up memory; returns how much, 0 if it fails."""
    try:
        return holder.shed(size)
    except Exception as exc:
        logger.bind(holder=holder.name).opt(exception=exc).error("memory not given up")
        return 0
