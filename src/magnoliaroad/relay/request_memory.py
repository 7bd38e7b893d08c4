"""Bounds the memory that the requests of a host hold at the same time."""

from types import TracebackType
from typing import Self

from magnoliaroad.refusal import Refused
from magnoliaroad.relay.refusals import MEMORY_FULL

# Part of the limit that other requests may hold beside one that exceeds the limit.
MAX_OTHERS_FRACTION = 0.25
# Part of the limit up to which parts of answers are held. They must not cause requests
# to be refused.
ANSWERS_FRACTION = 0.3
# Largest request that is never refused, in bytes. Requests of this size are bounded by
# the number of connections, and must not wait for a few large ones.
SMALL_BYTES = 16_384


class RequestMemory:
    """Counts the bytes of the bodies that are read, joined and sent.

    Args:
        limit_bytes: Most bytes of all requests together.

    Attributes:
        held_bytes: Bytes of all requests now.
    """

    def __init__(self, limit_bytes: int) -> None:
        self.held_bytes = 0
        self._limit_bytes = limit_bytes

    def hold(self) -> "HeldMemory":
        """Returns the memory of one request, to be used as a context manager."""
        return HeldMemory(self)

    def check(self, size: int, own: int = 0) -> None:
        """Checks whether a request that holds ``own`` bytes may hold ``size`` more.

        A request may exceed the limit by itself while the others hold little, so that
        no request is refused each time. Small requests are never refused.

        Raises:
            Refused: The limit does not hold as much.
        """
        others = self.held_bytes - own
        large = own + size > SMALL_BYTES
        full = large and self.held_bytes + size > self._limit_bytes
        if full and others > MAX_OTHERS_FRACTION * self._limit_bytes:
            raise Refused(MEMORY_FULL, held=self.held_bytes, needed=size)

    def take(self, size: int, own: int = 0) -> None:
        """Counts ``size`` bytes more for a request that already holds ``own``.

        Raises:
            Refused: The limit does not hold as much.
        """
        self.check(size, own)
        self.held_bytes += size

    def has_spare(self, size: int) -> bool:
        """Whether ``size`` bytes more leave enough for the bodies of requests."""
        return self.held_bytes + size <= ANSWERS_FRACTION * self._limit_bytes

    def free(self, size: int) -> None:
        """Counts ``size`` bytes less."""
        self.held_bytes -= size


class HeldMemory:
    """The memory of one request, which is freed when the request has ended."""

    def __init__(self, memory: RequestMemory) -> None:
        self._memory = memory
        self._size = 0

    def __enter__(self) -> Self:
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        exc: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self._memory.free(self._size)

    def beside(self) -> "HeldMemory":
        """Returns memory of the request that is counted and freed by itself."""
        return HeldMemory(self._memory)

    def check(self, size: int) -> None:
        """Checks whether the request may take ``size`` bytes more.

        Raises:
            Refused: The requests of the host hold too much.
        """
        self._memory.check(size, self._size)

    def grow(self, size: int) -> None:
        """Takes ``size`` bytes more for the request.

        Raises:
            Refused: The requests of the host hold too much.
        """
        if size > 0:
            self._memory.take(size, self._size)
            self._size += size

    def grow_to(self, size: int) -> None:
        """Takes as much as the request lacks of ``size`` bytes.

        Raises:
            Refused: The requests of the host hold too much.
        """
        self.grow(size - self._size)

    def take_spare(self, size: int) -> bool:
        """Takes as much as it lacks of ``size`` bytes if requests can spare it.

        Returns:
            Whether it holds as much.
        """
        lacking = size - self._size
        if size > SMALL_BYTES and not self._memory.has_spare(lacking):
            return False
        self.grow(lacking)
        return True
