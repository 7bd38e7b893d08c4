"""Bounds the memory that the requests of a host hold at the same time."""

import contextlib
import time
from collections.abc import Callable, Iterator
from types import TracebackType
from typing import Self

from magnoliaroad.caller_load.arrival import Arrival
from magnoliaroad.refusal import Refused
from magnoliaroad.relay.refusals import MEMORY_FULL

# Part of the limit that other requests may hold beside one that exceeds the limit.
MAX_OTHERS_FRACTION = 0.25
# Part of the limit up to which parts of answers are held. They must not cause requests
# to be refused.
ANSWERS_FRACTION = 0.3
# Largest request that does not wait for a few large ones, in bytes.
SMALL_BYTES = 16_384
# What a request holds beside its body while that arrives, in bytes.
ARRIVING_BYTES = 8192
# Shortest time between two searches for bodies that are late, in seconds, and part of
# the limit that is in use after one.
SEARCH_INTERVAL_S = 0.02
SEARCH_FRACTION = 0.9


class RequestMemory:
    """Counts the bytes of the bodies that are read, joined and sent.

    Once they fill the limit, those that do not arrive in time are given up for others.

    Args:
        limit_bytes: Most bytes of all requests together.
        now: Clock in seconds.

    Attributes:
        held_bytes: Bytes of the bodies of all requests now.
    """

    def __init__(
        self, limit_bytes: int, now: Callable[[], float] = time.monotonic
    ) -> None:
        self.held_bytes = 0
        self.now = now
        self._limit_bytes = limit_bytes
        self._small_bytes = 0
        # In the order in which they began.
        self._arriving: dict[HeldMemory, None] = {}
        self._next_search_at = 0.0

    def hold(self) -> "HeldMemory":
        """Returns the memory of one request, to be used as a context manager."""
        return HeldMemory(self)

    def check(self, size: int, own: int = 0) -> None:
        """Checks whether a request that holds ``own`` bytes may hold ``size`` more.

        A request may exceed the limit by itself while the others hold little, so that
        no request is refused each time. Small ones are refused only if small ones fill
        the limit.

        Raises:
            Refused: The limit does not hold as much.
        """
        if self._is_full(size, own):
            self._give_up_late(size)
            if self._is_full(size, own):
                raise Refused(MEMORY_FULL, held=self.held_bytes, needed=size)

    def _is_full(self, size: int, own: int) -> bool:
        if own + size <= SMALL_BYTES:
            used = self._small_bytes + ARRIVING_BYTES * len(self._arriving)
            return used + size > self._limit_bytes
        used = self._used_bytes
        return (
            used + size > self._limit_bytes
            and used - own > MAX_OTHERS_FRACTION * self._limit_bytes
        )

    @property
    def _used_bytes(self) -> int:
        return self.held_bytes + ARRIVING_BYTES * len(self._arriving)

    def take(self, size: int, own: int = 0) -> None:
        """Counts ``size`` bytes more for a request that already holds ``own``.

        Late bodies are given up if that exceeds the limit, also the one that grows.
        """
        self.held_bytes += size
        self._small_bytes += _small(own + size) - _small(own)
        if self._used_bytes > self._limit_bytes:
            self._give_up_late(0)

    def has_spare(self, size: int) -> bool:
        """Whether ``size`` bytes more leave enough for the bodies of requests."""
        return self.held_bytes + size <= ANSWERS_FRACTION * self._limit_bytes

    def free(self, size: int) -> None:
        """Counts ``size`` bytes less, which a request has held."""
        self.held_bytes -= size
        self._small_bytes -= _small(size)

    def add_arriving(self, held: "HeldMemory") -> None:
        """Adds a request whose body arrives."""
        self._arriving[held] = None

    def remove_arriving(self, held: "HeldMemory") -> None:
        """Removes a request whose body has arrived or is not read further."""
        self._arriving.pop(held, None)

    def _give_up_late(self, size: int) -> None:
        """Gives up late bodies, the oldest first, until ``size`` bytes more fit.

        Some more are given up, as the next search is later.
        """
        now = self.now()
        if now < self._next_search_at:
            return
        self._next_search_at = now + SEARCH_INTERVAL_S
        late = [held for held in self._arriving if held.is_late(now)]
        for held in late:
            if self._used_bytes + size <= SEARCH_FRACTION * self._limit_bytes:
                return
            held.give_up()


class HeldMemory:
    """The memory of one request, which is freed when the request has ended."""

    def __init__(self, memory: RequestMemory) -> None:
        self._memory = memory
        self._size = 0
        self._arrival: Arrival | None = None
        self._on_given_up: Callable[[], None] = _ignore
        self._given_up = False

    def __enter__(self) -> Self:
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        exc: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self._memory.free(self._size)
        self._size = 0

    @contextlib.contextmanager
    def arriving(self, on_given_up: Callable[[], None]) -> Iterator[None]:
        """Counts a body that arrives; it may be given up while it is late.

        Args:
            on_given_up: Is called then; the request is to be refused.
        """
        self._arrival = Arrival(self._memory.now())
        self._on_given_up = on_given_up
        self._memory.add_arriving(self)
        try:
            yield
        finally:
            self._memory.remove_arriving(self)
            self._arrival = None

    def is_late(self, now: float) -> bool:
        """Returns whether its body does not arrive in time."""
        return self._arrival is not None and self._arrival.is_late(now)

    def give_up(self) -> None:
        """Frees what the body holds; its request is refused."""
        self._given_up = True
        self._memory.remove_arriving(self)
        self._memory.free(self._size)
        self._size = 0
        self._on_given_up()

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
        if size > 0 and not self._given_up:
            self._memory.check(size, self._size)
        if self._given_up:
            raise Refused(MEMORY_FULL, held=self._memory.held_bytes, needed=size)
        if size > 0:
            own, self._size = self._size, self._size + size
            self._memory.take(size, own)
            if self._arrival is not None:
                self._arrival.grow(size, self._memory.now())

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


def _small(size: int) -> int:
    """Returns what a request of ``size`` bytes counts among the small ones."""
    return size if size <= SMALL_BYTES else 0


def _ignore() -> None:
    pass
