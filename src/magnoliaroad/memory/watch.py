"""Watches the memory of the process."""

import asyncio
import time
from collections.abc import Callable, Sequence

from loguru import logger
from mode import Service

from magnoliaroad.memory.holder import MemoryHolder
from magnoliaroad.memory.metrics import HELD, RESIDENT
from magnoliaroad.memory.resident import resident_bytes
from magnoliaroad.memory.settings import MemorySettings


class MemoryWatch(Service):
    """Reports the resident memory and who holds it.

    Args:
        cfg: Limit, and when memory is reported.
        holders: Parts of the process that know what they hold.
        read_resident: Returns the resident memory, in bytes.
    """

    def __init__(
        self,
        cfg: MemorySettings,
        holders: Sequence[MemoryHolder],
        read_resident: Callable[[], int] = resident_bytes,
    ) -> None:
        super().__init__()
        self.cfg = cfg
        self._holders = holders
        self._read_resident = read_resident
        self._next_log_at = 0.0

    @Service.task
    async def _watch(self) -> None:
        while not self.should_stop:
            try:
                self._check(self._read_resident())
            except (OSError, ValueError) as exc:
                logger.bind(reason=str(exc)).warning("memory is not watched")
                return
            await asyncio.sleep(self.cfg.check_interval_s)

    def _check(self, resident: int) -> None:
        RESIDENT.set({}, resident)
        if resident >= self.cfg.high_fraction * self.cfg.limit_bytes:
            self._report(resident)

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
