"""Which connections are ended to make room for others."""

import enum
from collections.abc import Iterable
from typing import NamedTuple, Protocol

# Time in which a request arrives whose caller goes on, in seconds; many round trips.
ARRIVAL_S = 1.0


class Phase(enum.Enum):
    """What a connection waits for.

    Attributes:
        IDLE: For a request.
        RECEIVING: For the rest of a request, of which nothing has run.
        SENDING: For its caller to read an answer.
        SERVED: For an answer.
    """

    IDLE = "idle"
    RECEIVING = "receiving"
    SENDING = "sending"
    SERVED = "served"


class Standing(NamedTuple):
    """What a connection waits for, and for how long.

    Attributes:
        phase: What it waits for.
        since: Monotonic time at which its last request began, in seconds.
    """

    phase: Phase
    since: float


class Evictable(Protocol):
    """A connection that may be ended to make room for others."""

    def standing(self) -> Standing:
        """Returns what it waits for."""

    def evict(self) -> bool:
        """Ends it, unless it goes on just now; returns whether it was ended."""


def eviction_order(conns: Iterable[Evictable], now: float) -> list[Evictable]:
    """Returns the connections that may be ended; those that are ended first come first.

    First those on which a request does not arrive, then idle ones, whose callers can
    connect again, then requests that may still arrive, then answers that are not read.
    Of two that wait for the same, the one that began earlier is the less likely to go
    on. Requests that are being served are not ended.

    Args:
        conns: Open connections.
        now: Monotonic time in seconds.
    """
    ranked = []
    for conn in conns:
        phase, since = conn.standing()
        if phase is not Phase.SERVED:
            ranked.append((_rank(phase, now - since), since, conn))
    return [conn for _, _, conn in sorted(ranked, key=lambda one: one[:2])]


def _rank(phase: Phase, age_s: float) -> int:
    if phase is Phase.RECEIVING:
        return 0 if age_s > ARRIVAL_S else 2
    return 1 if phase is Phase.IDLE else 3
