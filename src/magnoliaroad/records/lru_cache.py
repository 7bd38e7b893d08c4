"""In-memory LRU cache with a limit on the total size."""

from collections import OrderedDict
from collections.abc import Callable
from typing import Generic, TypeVar

T = TypeVar("T")


class LruCache(Generic[T]):
    """Caches values by key and evicts the least recently used.

    The most recent value is kept even if it alone exceeds the limit.

    Args:
        max_size: Maximum total size, in the unit of ``size_of``.
        size_of: Returns the size of a value.

    Attributes:
        size: Total size of the cached values.
    """

    def __init__(self, max_size: int, size_of: Callable[[T], int]) -> None:
        self.max_size = max_size
        self.size = 0
        self._size_of = size_of
        self._values: OrderedDict[str, T] = OrderedDict()

    def __contains__(self, key: str) -> bool:
        return key in self._values

    def get(self, key: str) -> T | None:
        """Returns the cached value of ``key``, or ``None``."""
        value = self._values.get(key)
        if value is not None:
            self._values.move_to_end(key)
        return value

    def peek(self, key: str) -> T | None:
        """Returns the cached value of ``key`` without counting this as a use."""
        return self._values.get(key)

    def add(self, key: str, value: T) -> None:
        """Caches ``value`` and evicts others while the total exceeds the limit."""
        previous = self._values.pop(key, None)
        if previous is not None:
            self.size -= self._size_of(previous)
        self._values[key] = value
        self.size += self._size_of(value)
        while self.size > self.max_size and len(self._values) > 1:
            _, evicted = self._values.popitem(last=False)
            self.size -= self._size_of(evicted)
