"""Queueing and placement of the requests of one route."""

from collections.abc import Iterable, Iterator
from typing import Any

from magnoliaroad.config import Target
from magnoliaroad.queueing.fair_queue import FairQueue
from magnoliaroad.queueing.job import Job
from magnoliaroad.queueing.queue_entry import QueueEntry
from magnoliaroad.queueing.queue_order import QueueOrder
from magnoliaroad.routing.candidates import Candidates
from magnoliaroad.routing.decision import Decision
from magnoliaroad.routing.placement import Placement
from magnoliaroad.routing.policies import queue_order, score_target
from magnoliaroad.routing.refusals import no_target, overloaded
from magnoliaroad.routing.score import Score
from magnoliaroad.routing.settings import RoutingSettings
from magnoliaroad.routing.target_tracker import TargetTracker

PRIORITY_STEP_TOKENS = 1000.0


class RouteQueue:
    """Decides when each request of a route is sent, and to which target.

    Args:
        cfg: Settings of placement.
        policy: Settings object of the route's policy.
        tracker: State of targets.
    """

    def __init__(
        self, cfg: RoutingSettings, policy: Any, tracker: TargetTracker
    ) -> None:
        self.cfg = cfg
        self.policy = policy
        self.tracker = tracker
        self.order: QueueOrder | None = queue_order(policy)
        self.queue = FairQueue(self.order or QueueOrder())
        self.weights: dict[str, float] = {}
        self._candidates = Candidates((), tracker.data_centre, cfg.candidates)
        self._attempts: dict[str, int] = {}

    def configure(self, targets: Iterable[Target], weights: dict[str, float]) -> None:
        """Sets the targets that accept new requests and the weights of the teams."""
        self.weights = weights
        self._candidates = Candidates(
            targets, self.tracker.data_centre, self.cfg.candidates
        )

    def submit(self, job: Job, attained: float, now: float) -> list[Decision]:
        """Places ``job``, refuses it, or leaves it in the queue."""
        usable = set(self._candidates.targets) - job.excluded
        if not any(self.tracker.allows(name, now) for name in usable):
            return [Decision(job, no_target(job), {})]
        if self.order is None:
            return [self._try_place(QueueEntry(0.0, 0, now, job), now)]
        self.queue.add(job, attained, now)
        decisions = self.dispatch(now)
        if any(decision.job is job for decision in decisions):
            return decisions
        return decisions + self._refuse_if_late(job, now)

    def dispatch(self, now: float) -> list[Decision]:
        """Places waiting requests while targets have capacity."""
        decisions: list[Decision] = []
        if self.order is None:
            return decisions
        while (decision := self._next_decision(now)) is not None:
            decisions.append(decision)
        return decisions

    def expire(self, now: float) -> list[Decision]:
        """Refuses requests that have waited longer than allowed."""
        decisions = []
        for entry in self.queue.waiting():
            waited_s = now - entry.queued_at
            if waited_s > self._max_wait_s(entry.job):
                self._discard(entry.job)
                refusal = overloaded(entry.job, waited_s)
                decisions.append(Decision(entry.job, refusal, {}, waited_s))
        return decisions

    def cancel(self, request_id: str) -> None:
        """Removes a waiting request whose caller has disconnected."""
        self.queue.remove(request_id)
        self._attempts.pop(request_id, None)

    def finish(self, placement: Placement, used_tokens: float) -> None:
        """Corrects the charge of the team to the tokens actually used."""
        if self.order is None:
            return
        team = placement.job.team
        self.queue.finish(
            team, used_tokens - placement.charged_tokens, self._weight(team)
        )

    def weighted_tokens(self, computed: float, generated: float) -> float:
        """Returns the cost of computed prompt tokens and generated tokens."""
        return computed + self.queue.order.answer_weight * generated

    def _next_decision(self, now: float) -> Decision | None:
        if not len(self.queue) or not self._any_has_capacity(now):
            return None
        for scanned, entry in enumerate(self.queue.ordered()):
            if scanned >= self.cfg.scan_limit:
                break
            decision = self._try_place(entry, now)
            if decision is not None:
                return decision
        return None

    def _try_place(self, entry: QueueEntry, now: float) -> Decision | None:
        job = entry.job
        scores = dict(self._scores(job, now))
        if not scores:
            return None
        name = min(scores, key=lambda candidate: scores[candidate].total)
        if self.order is not None and not self._has_capacity(name):
            self._attempts[job.request_id] = self._attempts.get(job.request_id, 0) + 1
            return None
        placement = self._place(job, name, scores[name], now)
        return Decision(job, placement, scores, now - entry.queued_at)

    def _scores(self, job: Job, now: float) -> Iterator[tuple[str, Score]]:
        cached = self.tracker.prefixes.cached_tokens(job.prefix)
        attempt = self._attempts.get(job.request_id, 0)
        for name in self._candidates.select(job.program, cached, attempt):
            if name in job.excluded or not self.tracker.allows(name, now):
                continue
            target = self._candidates.targets[name]
            view = self.tracker.view(target, job, cached.get(name, 0))
            yield name, score_target(self.policy, job, view)

    def _place(self, job: Job, name: str, score: Score, now: float) -> Placement:
        target = self._candidates.targets[name]
        self.tracker.record_sent(name, job, now)
        if self.order is None:
            return Placement(job, target, placed_at=now)
        entry = self.queue.remove(job.request_id)
        self._attempts.pop(job.request_id, None)
        computed = max(0, job.prompt_tokens - score.cached_tokens)
        answer = self.tracker.averages(name).answer_tokens
        charged = self.weighted_tokens(computed, answer)
        priority = self._priority(entry, now)
        self.queue.start(job.team, charged, self._weight(job.team))
        return Placement(job, target, priority, now, charged)

    def _priority(self, entry: QueueEntry, now: float) -> int:
        attained = entry.rank - self.order.ageing_tokens_per_s * now
        lead = max(0.0, self.queue.lead(entry.job.team) - self.order.slack_tokens)
        return int((attained + lead) / PRIORITY_STEP_TOKENS)

    def _any_has_capacity(self, now: float) -> bool:
        return any(
            self._has_capacity(name) and self.tracker.allows(name, now)
            for name in self._candidates.targets
        )

    def _has_capacity(self, name: str) -> bool:
        return self.tracker.loads.in_flight(name) < self.order.engine_batch

    def _refuse_if_late(self, job: Job, now: float) -> list[Decision]:
        wait_s = self._expected_wait_s(job, now)
        if wait_s <= self._max_wait_s(job):
            if len(self.queue) <= self.cfg.queue_limit:
                return []
            # Refuse from the longest queue: refusing the newest request would let
            # one team's burst shut out the others.
            job = self.queue.last_of_longest().job
            wait_s = self._expected_wait_s(job, now)
        self._discard(job)
        return [Decision(job, overloaded(job, wait_s), {})]

    def _expected_wait_s(self, job: Job, now: float) -> float:
        """Returns the wait from the requests ahead and the targets' service rates."""
        names = [n for n in self._candidates.targets if self.tracker.allows(n, now)]
        if any(self._has_capacity(name) for name in names) or not names:
            return 0.0
        ahead = self.queue.position(job.request_id) + 1
        requests_per_s = sum(
            self._own_slots(name) / self.tracker.averages(name).service_s
            for name in names
        )
        return ahead / requests_per_s

    def _own_slots(self, name: str) -> float:
        """Returns this host's in-flight requests at a full target, at least 1."""
        return max(1, self.tracker.loads.own[name])

    def _max_wait_s(self, job: Job) -> float:
        if job.deadline_s:
            return min(job.deadline_s, self.cfg.queue_wait_s)
        return self.cfg.queue_wait_s

    def _discard(self, job: Job) -> None:
        self.cancel(job.request_id)

    def _weight(self, team: str) -> float:
        return self.weights.get(team, 1.0)
