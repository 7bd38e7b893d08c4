"""The open connections of an address, of which there is a largest number."""

import time

from loguru import logger

from magnoliaroad.caller_load.eviction import Evictable, eviction_order
from magnoliaroad.caller_load.metrics import EVICTED, REFUSED

# Connections that are ended at once for a new one: one in so many, so that the search
# for them is rare.
EVICTED_PART = 32
# Shortest time between two log lines, in seconds.
LOG_INTERVAL_S = 1.0


class OpenConnections:
    """Counts the connections of an address and ends some to make room for others.

    Args:
        address: Name of the address, for the log.
        most: How many there may be.
    """

    def __init__(self, address: str, most: int) -> None:
        self._address = address
        self._most = most
        self._open: set[Evictable] = set()
        self._evicted = self._refused = 0
        self._next_log_at = 0.0

    def __len__(self) -> int:
        return len(self._open)

    def add(self, conn: Evictable) -> bool:
        """Adds a new connection; returns whether there is room for it."""
        if len(self._open) >= self._most and not self.make_room():
            REFUSED.inc({"address": self._address})
            self._refused += 1
            self._log()
            return False
        self._open.add(conn)
        return True

    def remove(self, conn: Evictable) -> None:
        """Removes a connection that has ended."""
        self._open.discard(conn)

    def make_room(self) -> int:
        """Ends some of the connections that wait longest; returns how many."""
        most, evicted = 1 + len(self._open) // EVICTED_PART, 0
        for conn in eviction_order(self._open, time.monotonic()):
            if evicted == most:
                break
            if conn.evict():
                self._open.discard(conn)
                evicted += 1
        if evicted:
            EVICTED.add({"address": self._address}, evicted)
            self._evicted += evicted
            self._log()
        return evicted

    def _log(self) -> None:
        """Logs what was ended and refused since the last line."""
        now = time.monotonic()
        if now < self._next_log_at:
            return
        self._next_log_at = now + LOG_INTERVAL_S
        logger.bind(
            address=self._address,
            connections=len(self._open),
            evicted=self._evicted,
            refused=self._refused,
        ).warning("too many connections")
        self._evicted = self._refused = 0
