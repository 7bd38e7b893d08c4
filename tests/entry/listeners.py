"""Listeners for callers, as hosts have them."""

from magnoliaroad.caller_listener import CallerListener
from magnoliaroad.caller_load.limits import CallerLimits
from magnoliaroad.caller_load.open_connections import OpenConnections
from magnoliaroad.memory.settings import MemorySettings

MOST_CONNECTIONS = 1000


def caller_listener(runner):
    """Returns a listener on a free port of loopback."""
    return CallerListener(
        runner,
        "127.0.0.1",
        0,
        CallerLimits(MemorySettings()),
        OpenConnections("callers", MOST_CONNECTIONS),
    )
