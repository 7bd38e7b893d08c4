"""When a process collects garbage and gives up memory."""

import enum

from magnoliaroad.memory.settings import MemorySettings


class MemoryStep(enum.Enum):
    """What is to be done about the memory of the process."""

    NONE = "none"
    COLLECT = "collect"
    SHED = "shed"


class MemoryPolicy:
    """Decides by the resident memory and by what the last collection has left.

    Args:
        cfg: Limit of the process and parts of it.
    """

    def __init__(self, cfg: MemorySettings) -> None:
        self.cfg = cfg
        self._kept_bytes = 0
        self._shed_at_bytes = 0
        self._trimmed_bytes = 0

    def step(self, resident: int, unread: int = 0) -> MemoryStep:
        """Returns what is to be done now.

        Garbage is collected whenever memory has grown by a part of the limit, so that
        the cost of collections follows the growth.

        Args:
            resident: Resident memory, in bytes.
            unread: Bytes that have arrived and were not read, which count as well.
        """
        cfg = self.cfg
        used = resident + unread
        self._kept_bytes = min(self._kept_bytes, resident)
        self._shed_at_bytes = min(self._shed_at_bytes, used)
        growth = resident - self._kept_bytes
        if resident < cfg.high_fraction * cfg.limit_bytes:
            return MemoryStep.NONE
        if growth >= cfg.growth_fraction * cfg.limit_bytes:
            return MemoryStep.COLLECT
        shed_growth = used - self._shed_at_bytes
        if (
            self.excess(used)
            and shed_growth >= cfg.shed_growth_fraction * cfg.limit_bytes
        ):
            return MemoryStep.SHED
        return MemoryStep.NONE

    def collected(self, resident: int) -> None:
        """Notes what was resident after a collection."""
        self._kept_bytes = resident

    def shed(self, used: int) -> None:
        """Notes what was resident or unread when memory was given up."""
        self._shed_at_bytes = used

    def should_trim(self, resident: int) -> bool:
        """Returns whether free pages are to be returned to the system.

        The allocator keeps them between buffers that are in use. A search for them
        takes time, so that they are left alone while memory is far from its limit.
        """
        self._trimmed_bytes = min(self._trimmed_bytes, resident)
        growth = resident - self._trimmed_bytes
        least = self.cfg.trim_growth_fraction * self.cfg.limit_bytes
        return self.excess(resident) > 0 and growth >= least

    def trimmed(self, resident: int) -> None:
        """Notes what was resident after free pages were returned."""
        self._trimmed_bytes = resident

    def excess(self, used: int) -> int:
        """Returns how many bytes the process holds above the part it may keep."""
        return max(0, used - int(self.cfg.shed_fraction * self.cfg.limit_bytes))
