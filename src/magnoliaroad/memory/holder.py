"""A part of a process that holds memory."""

from collections.abc import Callable
from typing import NamedTuple


def _shed_nothing(size: int) -> int:
    return 0


class MemoryHolder(NamedTuple):
    """A part of the process that knows how many bytes it holds.

    Attributes:
        name: Name in log lines and metrics.
        held_bytes: Returns how many bytes it holds now.
        shed: Gives up what is largest, until so many bytes are free or nothing more can
            be given up; returns how many bytes those were.
    """

    name: str
    held_bytes: Callable[[], int]
    shed: Callable[[int], int] = _shed_nothing
