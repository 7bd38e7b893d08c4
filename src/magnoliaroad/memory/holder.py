"""A part of a process that holds memory."""

from collections.abc import Callable
from typing import NamedTuple


class MemoryHolder(NamedTuple):
    """A part of the process that knows how many bytes it holds.

    Attributes:
        name: Name in log lines and metrics.
        held_bytes: Returns how many bytes it holds now.
    """

    name: str
    held_bytes: Callable[[], int]
