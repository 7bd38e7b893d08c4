"""Decides whether a new program is taken while its service lacks room."""

import random
from collections.abc import Iterable
from typing import NamedTuple

# Requests that wait at the least loaded target, as part of its slots, from which room
# counts as short. The turns of a program then take half as long again.
SHORT_PART = 0.5
# Time for which room must have been short, in seconds: programs bear a shorter burst.
SUSTAINED_S = 1.0
# Time without a first turn after which an earlier shortage says nothing any more, in
# seconds; hosts of large fleets get a first turn in some three seconds.
FORGOTTEN_S = 5.0
# Part of the slots by which each higher rank is still taken.
RANK_PART = 0.5
# Ranks that are told apart.
RANKS = 3
# Part of its caller's time limit that a request must have used up to count as one that
# has come back after a refusal.
RETURNED_PART = 0.1
# Weight of a shorter limit of a caller in the usual limit of a route, which the longest
# ones decide.
SHORTER_WEIGHT = 0.02
# Earliest and latest time to come back, in seconds; spread, so that refused programs do
# not return together. Callers wait for a third of their time at most.
MIN_RETURN_S = 0.3
MAX_RETURN_S = 0.9


class _Shortage(NamedTuple):
    """When the room of a service became short, and when that was last found."""

    since: float
    at: float


class ProgramAdmission:
    """Refuses first turns of new programs under sustained shortage, lowest rank first.

    For the load pattern of a burst that lasts: taking all programs makes every one of
    them late, and the turns of those that have begun wait behind first turns. A refused
    program that comes back is taken before new ones, as its caller has less time left.
    """

    def __init__(self) -> None:
        self._shortages: dict[str, _Shortage] = {}
        self._usual_limits_s: dict[str, float] = {}

    def record_waiting(
        self, service: str, loads: Iterable[tuple[float, int]], now: float
    ) -> float:
        """Records how full the targets of a service are.

        Args:
            service: Name of the service.
            loads: Requests and slots of each of its usable targets.
            now: Time in seconds.

        Returns:
            Requests that wait at the least loaded target, as part of its slots.
        """
        waiting = waiting_part(loads)
        if waiting < SHORT_PART:
            self._shortages.pop(service, None)
            return waiting
        known = self._shortages.get(service)
        if known is None or now - known.at > FORGOTTEN_S:
            known = _Shortage(now, now)
        self._shortages[service] = known._replace(at=now)
        return waiting

    def record_limit(self, route: str, limit_s: float | None) -> float:
        """Records the time limit of a first turn; returns the part that is used up.

        Callers of a route may all state less than its own limit, so that what is used
        up is counted from the limit that they usually state.

        Args:
            route: Name of the route.
            limit_s: Time that the caller still has, in seconds; ``None`` if unknown.
        """
        if limit_s is None or limit_s <= 0:
            return 0.0
        usual_s = self._usual_limits_s.get(route, limit_s)
        usual_s = max(limit_s, usual_s + SHORTER_WEIGHT * (limit_s - usual_s))
        self._usual_limits_s[route] = usual_s
        return 1.0 - limit_s / usual_s

    def admits(
        self, service: str, rank: int, waiting: float, used_part: float, now: float
    ) -> bool:
        """Returns whether the first turn of a new program is taken.

        Args:
            service: Name of the service.
            rank: Rank of the program; 0 is the highest.
            waiting: What ``record_waiting`` has returned.
            used_part: What ``record_limit`` has returned.
            now: Time in seconds.
        """
        shortage = self._shortages.get(service)
        since = now if shortage is None else shortage.since
        if now - since < SUSTAINED_S or used_part >= RETURNED_PART:
            return True
        higher = RANKS - 1 - min(rank, RANKS - 1)
        return waiting < SHORT_PART + RANK_PART * higher


def waiting_part(loads: Iterable[tuple[float, int]]) -> float:
    """Returns the requests that wait at the least loaded target, as part of its slots.

    Args:
        loads: Requests and slots of each target.
    """
    return min(
        (max(0.0, load + 1 - slots) / max(1, slots) for load, slots in loads),
        default=0.0,
    )


def return_after_s(rng: random.Random) -> float:
    """Returns when a refused program is to come back, in seconds."""
    return rng.uniform(MIN_RETURN_S, MAX_RETURN_S)
