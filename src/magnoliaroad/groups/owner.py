"""The owner of a group."""

from typing import NamedTuple


class Owner(NamedTuple):
    """Host that owns a group, and its fencing token."""

    host: str
    fence: int
