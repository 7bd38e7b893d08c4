"""The order of the requests that wait for room at one service."""

from magnoliaroad.routing.fair_queue import FairQueue
from magnoliaroad.routing.job import Job
from magnoliaroad.routing.queue_order import QueueOrder
from magnoliaroad.waiting.standing import Standing

# Requests by which a team may be ahead of the team that got least before its requests
# go behind those of others: about the slots of one target.
TEAM_SLACK = 8.0
# First and longest pause between two tries of requests that wait, in seconds. Requests
# to plain services take some 20 ms; with eighty hosts, the longest keeps the tries
# below the rate at which places of four targets become free.
MIN_PAUSE_S = 0.02
MAX_PAUSE_S = 0.08


class RoomQueue:
    """Requests that all targets of a service have refused as full.

    For the load pattern of a burst upon few targets: hosts refused what its first tries
    found no room for, whatever its rank, while places became free every few
    milliseconds. The queue is ordered by rank, then by what callers lose, and is fair
    between teams; time of waiting makes up for any rank.

    The pause between tries doubles while tries fail, so that many hosts with waiting
    requests do not keep the targets busy with refusals.
    """

    def __init__(self) -> None:
        self._queue = FairQueue(
            QueueOrder(slack_tokens=TEAM_SLACK, ageing_tokens_per_s=1.0)
        )
        self._pause_s = MIN_PAUSE_S

    def __len__(self) -> int:
        return len(self._queue)

    @property
    def pause_s(self) -> float:
        """Time until the next try, in seconds."""
        return self._pause_s

    def add(self, request: str, team: str, standing: Standing, since: float) -> None:
        """Adds a request.

        Args:
            request: Id of the request.
            team: Team that sent it.
            standing: Its standing.
            since: Time at which it first began to wait, in seconds; one that has tried
                again keeps its place.
        """
        self._queue.add(Job(request, "", team, ""), standing.delay_s, since)

    def remove(self, request: str) -> None:
        """Removes a request, if it is still there."""
        self._queue.remove(request)

    def take_next(self) -> str | None:
        """Removes the first request and returns its id; ``None`` if none waits."""
        entry = next(self._queue.ordered(), None)
        if entry is None:
            return None
        team = entry.job.team
        self._queue.start(team, 1.0, 1.0)
        self._queue.remove(entry.job.request_id)
        self._queue.finish(team, 0.0, 1.0)
        return entry.job.request_id

    def record_outcome(self, found_room: bool) -> None:
        """Adjusts the pause to whether a request that tried again found room."""
        doubled_s = min(MAX_PAUSE_S, 2 * self._pause_s)
        self._pause_s = MIN_PAUSE_S if found_room else doubled_s
