"""Bounds what incomplete frames of all connections hold together."""

from collections.abc import Callable

from loguru import logger

from magnoliaroad.peers.metrics import DROPPED

# Most bytes of incomplete frames; more than one of the largest.
MAX_INCOMPLETE_BYTES = 10_000_000


class FrameMemory:
    """Counts incomplete frames; beyond the bound those that began first are dropped.

    A sound peer sends a frame without a pause, so the oldest is the least likely to be
    completed.

    Args:
        limit_bytes: Most bytes of all incomplete frames.

    Attributes:
        held_bytes: Bytes of all incomplete frames.
    """

    def __init__(self, limit_bytes: int = MAX_INCOMPLETE_BYTES) -> None:
        self.held_bytes = 0
        self._limit_bytes = limit_bytes
        # Size of each frame by the function that drops it, in the order of their start.
        self._frames: dict[Callable[[], None], int] = {}

    def hold(self, drop: Callable[[], None], size: int) -> None:
        """Sets the size of an incomplete frame.

        Args:
            drop: Frees the frame and closes its connection.
            size: What has arrived of it, in bytes; 0 when it is complete.
        """
        self.held_bytes += size - self._frames.get(drop, 0)
        if size:
            self._frames[drop] = size
        else:
            self._frames.pop(drop, None)
        while self.held_bytes > self._limit_bytes:
            self._drop_oldest()

    def _drop_oldest(self) -> None:
        drop = next(iter(self._frames))
        size = self._frames.pop(drop)
        self.held_bytes -= size
        DROPPED.inc({})
        logger.bind(frame_bytes=size, held_bytes=self.held_bytes).warning(
            "incomplete frame dropped"
        )
        drop()
