"""The load that an engine reports."""

from typing import NamedTuple


class LoadReport(NamedTuple):
    """Request counts of an engine; they lag behind its actual load.

    Attributes:
        running: Requests in the running batch.
        waiting: Requests in the engine's own queue.
    """

    running: int = 0
    waiting: int = 0
