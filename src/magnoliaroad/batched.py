"""Splitting of sequences into batches."""

from collections.abc import Iterator, Sequence
from typing import TypeVar

T = TypeVar("T")


def batched(items: Sequence[T], size: int) -> Iterator[Sequence[T]]:
    """Yields ``items`` in batches of at most ``size``, in order."""
    for start in range(0, len(items), size):
        yield items[start : start + size]
