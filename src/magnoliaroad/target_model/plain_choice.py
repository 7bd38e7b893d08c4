"""Chooses the target of a request to a plain service by its fresh load."""

import math
from collections.abc import Sequence
from typing import NamedTuple

from magnoliaroad.rendezvous import HASH_RANGE, hash_part, highest_ranked

# Part of a target's slots up to which a host may keep to it; a slowed target reaches it
# with fewer requests. With a half, half as many requests again found a full target at
# the usual load in tests/waiting/burst.py.
SPARE_PART = 0.34
# Free slots that a target counts as having at least: what is known may be outdated.
LEAST_FREE = 0.25
# Free slots, as part of all, below which targets of other data centres are drawn too.
FAR_FREE_PART = 0.5


class PlainCandidate(NamedTuple):
    """What counts for and against one target of a plain service.

    Attributes:
        name: Id of the target.
        load: Requests there.
        slots: Requests that it can run at the same time.
        is_far: Whether it is in another data centre.
        slowdown: How much longer work takes there now; 1 if it is not known.
    """

    name: str
    load: float
    slots: int
    is_far: bool
    slowdown: float


def choose_by_free_slots(
    candidates: Sequence[PlainCandidate],
    request: str,
    affinity_host: str | None = None,
) -> str:
    """Returns the id of the target that a request to a plain service goes to.

    For the load pattern of a burst upon few targets that refuse what exceeds their
    slots: news is older than a request takes, so that a choice of the least loaded
    sends those of all hosts to the same target. Each request draws one instead, with
    a chance that grows with the slots that are free there and soon will be.

    Args:
        candidates: The targets to choose from.
        request: Id of the request.
        affinity_host: Name of this host if it has few requests, else ``None``. Such a
            host keeps to one target of its data centre while that has spare slots, as
            its connections would else reach the idle timeout.
    """
    near = [c for c in candidates if not c.is_far]
    if affinity_host is not None:
        spare = [c.name for c in near if _has_spare_slots(c)]
        kept = highest_ranked(affinity_host, spare)
        if kept is not None:
            return kept
    slots = sum(c.slots for c in near)
    free = sum(max(0.0, c.slots - c.load) for c in near)
    drawn = near if free > FAR_FREE_PART * slots else candidates
    return min(drawn, key=lambda c: _draw(request, c)).name


def _has_spare_slots(candidate: PlainCandidate) -> bool:
    return candidate.load * candidate.slowdown < SPARE_PART * candidate.slots


def _draw(request: str, candidate: PlainCandidate) -> float:
    """Returns a random time by the request; the smallest is drawn.

    Of exponentially distributed times, each is the smallest with a chance in proportion
    to its rate.
    """
    # Above 0, which has no logarithm.
    part = hash_part(request, candidate.name) + 1.0 / HASH_RANGE
    free = max(LEAST_FREE, candidate.slots - candidate.load) / candidate.slowdown
    return -math.log(part) / free
