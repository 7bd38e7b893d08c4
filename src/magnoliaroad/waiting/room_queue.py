"""The order of the requests that wait for room at one service."""

from magnoliaroad.queueing.fair_queue import FairQueue
from magnoliaroad.queueing.job import Job
from magnoliaroad.queueing.queue_entry import QueueEntry
from magnoliaroad.queueing.queue_order import QueueOrder
from magnoliaroad.waiting.standing import Standing

# Requests by which a team may be ahead of the team that got least before its requests
# go behind those of others. Few wait at one host: with 8, the slots of a target, the
# teams beside a burst lost nearly as much as the one that sent it.
TEAM_SLACK = 0.0
# First and longest pause between two tries of requests that wait, in seconds. Requests
# to plain services take some 20 ms; with eighty hosts, the longest keeps the tries
# below the rate at which places of four targets become free.
MIN_PAUSE_S = 0.02
MAX_PAUSE_S = 0.08


# Ends of requests from which the time between two of them is known well enough.
MIN_ENDS = 5
# Weight of a new interval in the mean interval between ends.
END_WEIGHT = 0.2


class RoomQueue:
    """Requests that all targets of a service have refused as full.

    For the load pattern of a burst upon few targets: hosts refused what its first tries
    found no room for, whatever its rank, while places became free every few
    milliseconds. The queue is ordered by rank, then by what callers lose, and is fair
    between teams of the same rank; time of waiting makes up for any rank.

    The pause between tries doubles while tries fail, so that many hosts with waiting
    requests do not keep the targets busy with refusals.
    """

    def __init__(self) -> None:
        # One queue for each rank: a team's share must not outweigh the rank.
        self._queues: dict[int, FairQueue] = {}
        self._ranks: dict[str, int] = {}
        self._pause_s = MIN_PAUSE_S
        self._last_end = 0.0
        self._ends = 0
        self._end_interval_s = 0.0

    def __len__(self) -> int:
        return len(self._ranks)

    @property
    def pause_s(self) -> float:
        """Time until the next try, in seconds."""
        return self._pause_s

    def add(self, request: str, team: str, standing: Standing, since: float) -> None:
        """Adds a request.

        Args:
            request: Key of the request; no other one in the queue has it.
            team: Team that sent it.
            standing: Its standing.
            since: Time at which it first began to wait, in seconds; one that has tried
                again keeps its place.
        """
        queue = self._queues.get(standing.rank)
        if queue is None:
            order = QueueOrder(slack_tokens=TEAM_SLACK, ageing_tokens_per_s=1.0)
            queue = self._queues[standing.rank] = FairQueue(order)
        queue.add(Job(request, "", team, ""), standing.delay_s, since)
        self._ranks[request] = standing.rank

    def remove(self, request: str) -> None:
        """Removes a request, if it is still there."""
        rank = self._ranks.pop(request, None)
        if rank is not None:
            self._queues[rank].remove(request)
        if not self._ranks:
            self._ends = 0

    def take_next(self) -> str | None:
        """Removes the first request and returns its key; ``None`` if none waits."""
        entry = self._first()
        if entry is None:
            return None
        request, team = entry.job.request_id, entry.job.team
        queue = self._queues[self._ranks[request]]
        queue.start(team, 1.0, 1.0)
        self.remove(request)
        queue.finish(team, 0.0, 1.0)
        return request

    def goes_first(self, standing: Standing, now: float) -> bool:
        """Whether a request that arrives now goes before all that wait."""
        first = self._first()
        return first is None or standing.delay_s + now < first.rank

    def _first(self) -> QueueEntry | None:
        firsts = [next(queue.ordered()) for queue in self._queues.values() if queue]
        return min(firsts, default=None)

    def expected_wait_s(self, request: str) -> float:
        """Returns how long a waiting request is likely to wait; 0 if it is not known.

        Requests of this host that end make room at the rate at which those that wait
        go on.
        """
        if self._ends < MIN_ENDS:
            return 0.0
        own = self._ranks[request]
        higher = sum(len(queue) for rank, queue in self._queues.items() if rank < own)
        ahead = higher + self._queues[own].position(request)
        return ahead * self._end_interval_s

    def record_end(self, now: float) -> None:
        """Records that a request of this host to the service has ended."""
        if self._ends:
            interval_s = now - self._last_end
            weight = 1.0 if self._ends == 1 else END_WEIGHT
            self._end_interval_s += weight * (interval_s - self._end_interval_s)
        self._ends += 1
        self._last_end = now

    def record_outcome(self, found_room: bool) -> None:
        """Adjusts the pause to whether a request that tried again found room."""
        doubled_s = min(MAX_PAUSE_S, 2 * self._pause_s)
        self._pause_s = MIN_PAUSE_S if found_room else doubled_s
