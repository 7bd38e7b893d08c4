"""Messages between hosts about the pace of targets."""

from typing import NamedTuple


class PaceReport(NamedTuple):
    """Estimates of the sender.

    Attributes:
        paces: Id and start of each target, time for an event in microseconds, and
            number of samples.
    """

    paces: list[tuple[str, int, int, int]]


class PaceRequest(NamedTuple):
    """Asks a host for its estimates; the reply is a ``PaceReport``."""
