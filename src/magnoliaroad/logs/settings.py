"""Settings of the log."""

from typing import NamedTuple


class LogSettings(NamedTuple):
    """Level and destination of the log.

    Attributes:
        level: Lowest level of messages that are logged.
        path: Log file; lines are appended. ``None`` (JSON ``null``) logs to standard
            error, ``"-"`` to standard output, both without blocking: lines are dropped
            while the reader is too slow.
    """

    level: str = "INFO"
    path: str | None = None
