"""Settings of the log."""

from typing import NamedTuple


class LogSettings(NamedTuple):
    """How a host logs.

    Attributes:
        level: Lowest level that is written.
        path: File to write to; ``None`` writes to standard error, ``"-"`` to
            standard output without ever waiting for its reader.
    """

    level: str = "INFO"
    path: str | None = None
