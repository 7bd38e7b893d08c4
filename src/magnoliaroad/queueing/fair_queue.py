"""Queue of a route: fair between teams, least attained service first in a team."""

import bisect
import collections
import heapq
from collections.abc import Iterator

from magnoliaroad.queueing.job import Job
from magnoliaroad.queueing.queue_entry import QueueEntry
from magnoliaroad.queueing.queue_order import QueueOrder


class FairQueue:
    """Orders waiting requests by a virtual token counter for each team.

    A team's counter is its service in tokens, divided by its weight. When an
    idle team becomes active, its counter is raised to the lowest counter of the
    active teams, so that idle time earns no credit. A team that is active alone
    is not delayed later for the tokens it used in that time.

    Args:
        order: Settings of the order.
    """

    def __init__(self, order: QueueOrder) -> None:
        self.order = order
        self.counters: dict[str, float] = {}
        self._waiting: dict[str, list[QueueEntry]] = {}
        self._running: collections.Counter[str] = collections.Counter()
        self._by_request_id: dict[str, QueueEntry] = {}
        self._last_sequence = 0

    def __len__(self) -> int:
        return len(self._by_request_id)

    def add(self, job: Job, attained: float, now: float) -> QueueEntry:
        """Adds ``job`` to the queue and returns its entry.

        Args:
            job: The request.
            attained: Tokens that its program has used so far.
            now: Time in seconds.
        """
        self._activate(job.team)
        rank = attained + self.order.ageing_tokens_per_s * now
        self._last_sequence += 1
        entry = QueueEntry(rank, self._last_sequence, now, job)
        bisect.insort(self._waiting.setdefault(job.team, []), entry)
        self._by_request_id[job.request_id] = entry
        return entry

    def remove(self, request_id: str) -> QueueEntry | None:
        """Removes a request; returns its entry, or ``None`` if it was not waiting."""
        entry = self._by_request_id.pop(request_id, None)
        if entry is None:
            return None
        team = entry.job.team
        entries = self._waiting[team]
        del entries[bisect.bisect_left(entries, entry)]
        if not entries:
            del self._waiting[team]
            self._drop_idle_counters(team)
        return entry

    def ordered(self) -> Iterator[QueueEntry]:
        """Yields the waiting requests in the order of placement."""
        minimum = self._min_counter()
        ranked = [
            _with_excess(entries, self._excess(team, minimum))
            for team, entries in self._waiting.items()
        ]
        return (entry for _, entry in heapq.merge(*ranked))

    def position(self, request_id: str) -> int:
        """Returns the number of waiting requests ahead of ``request_id``."""
        entry = self._by_request_id[request_id]
        minimum = self._min_counter()
        excess = self._excess(entry.job.team, minimum)
        ahead = 0
        for team, entries in self._waiting.items():
            other = self._excess(team, minimum)
            if other < excess:
                ahead += len(entries)
            elif other == excess:
                ahead += bisect.bisect_left(entries, entry)
        return ahead

    def last_of_longest(self) -> QueueEntry:
        """Returns the last request of the team with the most waiting requests."""
        return max(self._waiting.values(), key=len)[-1]

    def waiting(self) -> list[QueueEntry]:
        """Returns the waiting requests in no particular order."""
        return list(self._by_request_id.values())

    def start(self, team: str, tokens: float, weight: float) -> None:
        """Charges ``team`` the expected weighted tokens of a request being sent."""
        self._activate(team)
        self._running[team] += 1
        self.counters[team] += tokens / weight

    def finish(self, team: str, difference: float, weight: float) -> None:
        """Charges the difference between the used and the expected tokens."""
        self._running[team] -= 1
        if team in self.counters:
            self.counters[team] += difference / weight
        self._drop_idle_counters(team)

    def lead(self, team: str) -> float:
        """Returns by how many tokens a team exceeds the least served active team."""
        return self.counters.get(team, 0.0) - self._min_counter()

    def _excess(self, team: str, minimum: float) -> float:
        ahead = self.counters[team] - minimum
        return max(0.0, ahead - self.order.slack_tokens)

    def _active(self, team: str) -> bool:
        return team in self._waiting or self._running[team] > 0

    def _min_counter(self) -> float:
        active = [self.counters[team] for team in self._waiting]
        active += [
            self.counters[team] for team, count in self._running.items() if count > 0
        ]
        return min(active, default=0.0)

    def _activate(self, team: str) -> None:
        if not self._active(team):
            self.counters[team] = max(self.counters.get(team, 0.0), self._min_counter())

    def _drop_idle_counters(self, team: str) -> None:
        if self._active(team):
            return
        del self._running[team]
        if not self._waiting and not self._running:
            self.counters.clear()
            return
        minimum = self._min_counter()
        idle = [
            name
            for name, counter in self.counters.items()
            if counter <= minimum and not self._active(name)
        ]
        for name in idle:
            del self.counters[name]


def _with_excess(
    entries: list[QueueEntry], excess: float
) -> Iterator[tuple[float, QueueEntry]]:
    return ((excess, entry) for entry in entries)
