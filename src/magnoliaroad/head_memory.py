"""Bounds the memory of heads that arrive in parts."""

# Most bytes of all incomplete heads of the process together.
MAX_HEADS_BYTES = 4_000_000
# Largest incomplete head that is never refused for them, in bytes; the number of
# connections bounds those.
SMALL_HEAD_BYTES = 4096


class HeadMemory:
    """Counts the bytes of the incomplete heads of all connections.

    The head of a request mostly arrives in one piece, and then is not counted.

    Attributes:
        held_bytes: Bytes of all incomplete heads now.
    """

    def __init__(self) -> None:
        self.held_bytes = 0

    def take(self, size: int, own: int) -> bool:
        """Counts ``size`` bytes more for a head that already has ``own``.

        Returns:
            Whether the head may go on; ``False`` if all together are too large.
        """
        self.held_bytes += size
        return own + size <= SMALL_HEAD_BYTES or self.held_bytes <= MAX_HEADS_BYTES

    def free(self, size: int) -> None:
        """Counts ``size`` bytes less."""
        self.held_bytes -= size
