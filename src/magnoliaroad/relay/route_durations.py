"""How long the requests of each route have taken lately."""

import collections

# Requests of a route over which the longest is sought.
REMEMBERED = 100
# Requests after which the longest of them says something about the next.
MIN_REQUESTS = 20


class RouteDurations:
    """Remembers the durations of answered requests, by route."""

    def __init__(self) -> None:
        self._durations: dict[str, collections.deque[float]] = {}

    def record(self, route: str, took_s: float) -> None:
        """Adds the duration of a request in seconds, from its head to its end."""
        durations = self._durations.get(route)
        if durations is None:
            durations = collections.deque(maxlen=REMEMBERED)
            self._durations[route] = durations
        durations.append(took_s)

    def longest_s(self, route: str) -> float | None:
        """Returns the longest recent duration; ``None`` if too few are known."""
        durations = self._durations.get(route, ())
        return max(durations) if len(durations) >= MIN_REQUESTS else None
