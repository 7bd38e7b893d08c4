"""Divides the memory for unread bytes among connections."""


class ReceivePool:
    """Counts what the enlarged buffers of connections may hold together.

    Args:
        limit_bytes: Most bytes of all enlarged buffers.

    Attributes:
        granted_bytes: Bytes of those that are enlarged now.
    """

    def __init__(self, limit_bytes: int) -> None:
        self.granted_bytes = 0
        self._limit_bytes = limit_bytes

    def fits(self, size: int) -> bool:
        """Returns whether there is room for a buffer of ``size`` bytes."""
        return self.granted_bytes + size <= self._limit_bytes

    def take(self, size: int) -> bool:
        """Returns whether a buffer of ``size`` bytes fits, and counts it if so."""
        if not self.fits(size):
            return False
        self.granted_bytes += size
        return True

    def free(self, size: int) -> None:
        """Counts ``size`` bytes less."""
        self.granted_bytes -= size
