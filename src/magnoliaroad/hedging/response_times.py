"""How long the answers of each route take to begin."""

import bisect
import collections

# Answers over which the percentile is taken. A host of a large fleet gets a few
# requests a second, so that these are those of about a minute.
REMEMBERED = 200
# Answers from which a percentile says something.
MIN_ANSWERS = 20


class ResponseTimes:
    """The last answers of each route, in order of arrival and sorted."""

    def __init__(self) -> None:
        self._recent: dict[str, collections.deque[float]] = {}
        self._sorted: dict[str, list[float]] = {}

    def record(self, route: str, took_s: float) -> None:
        """Adds the time from a request to the head of its answer, in seconds."""
        recent = self._recent.setdefault(route, collections.deque())
        ordered = self._sorted.setdefault(route, [])
        recent.append(took_s)
        bisect.insort(ordered, took_s)
        if len(recent) > REMEMBERED:
            del ordered[bisect.bisect_left(ordered, recent.popleft())]

    def percentile_s(self, route: str, part: float) -> float | None:
        """Returns the time within which ``part`` of the answers begin.

        ``None`` if too few are known.
        """
        ordered = self._sorted.get(route, ())
        if len(ordered) < MIN_ANSWERS:
            return None
        return ordered[min(len(ordered) - 1, int(part * len(ordered)))]
