"""Queueing and placement decisions, without I/O or access to the clock."""

from collections.abc import Iterable

from magnoliaroad.config import Config, RouteKind
from magnoliaroad.queueing.job import Job
from magnoliaroad.routing.attained import AttainedService
from magnoliaroad.routing.decision import Decision
from magnoliaroad.routing.load_report import LoadReport
from magnoliaroad.routing.messages import HostLoad
from magnoliaroad.routing.placement import Placement
from magnoliaroad.routing.policies import load_policy
from magnoliaroad.routing.refusals import no_target
from magnoliaroad.routing.retry_budget import RetryBudget
from magnoliaroad.routing.route_queue import RouteQueue
from magnoliaroad.routing.settings import RoutingSettings
from magnoliaroad.routing.target_tracker import TargetTracker
from magnoliaroad.routing.usage import Usage

SERVICE_POLICY = "least_loaded"


class Dispatcher:
    """Queues and places the requests of a host.

    Times are monotonic seconds. Methods return all decisions that result from
    the call, including those on requests that were already waiting.

    Args:
        cfg: Settings of placement.
        data_centre: Data centre of the host.
    """

    def __init__(self, cfg: RoutingSettings, data_centre: str) -> None:
        self.cfg = cfg
        self.tracker = TargetTracker(cfg, data_centre)
        self._policies = {
            RouteKind.ENGINE: load_policy(cfg.policy, cfg.policy_options),
            RouteKind.SERVICE: load_policy(SERVICE_POLICY, {}),
        }
        self._attained = AttainedService()
        self._routes: dict[str, RouteQueue] = {}
        self._retry_budgets: dict[str, RetryBudget] = {}

    def configure(
        self, config: Config, leaving: Iterable[str], now: float
    ) -> list[Decision]:
        """Applies a configuration, excluding targets in ``leaving`` from placement."""
        leaving_names = set(leaving)
        weights = {name: team.weight for name, team in config.teams.items()}
        targets = [t for t in config.targets.values() if not t.draining]
        targets = [t for t in targets if t.name not in leaving_names]
        self.tracker.retain_only(config.targets)
        decisions = []
        for name, route in config.routes.items():
            queue = self._routes.get(name)
            if queue is None:
                policy = self._policies[route.kind]
                queue = RouteQueue(self.cfg, policy, self.tracker)
                self._routes[name] = queue
            queue.configure([t for t in targets if t.route == name], weights)
            decisions += queue.dispatch(now)
        return decisions

    def submit(self, job: Job, now: float) -> list[Decision]:
        """Submits a request for placement."""
        queue = self._routes.get(job.route)
        if queue is None:
            return [Decision(job, no_target(job), {})]
        self._retry_budget(job.route).deposit()
        attained = max(self._attained.tokens(job.program), job.attained_tokens)
        return queue.submit(job, attained, now)

    def release(self, placement: Placement, usage: Usage, now: float) -> list[Decision]:
        """Releases the slot of a request that has ended, with its token usage."""
        job, target = placement.job, placement.target.name
        took_s = now - placement.placed_at
        self.tracker.record_ended(target, job, usage, took_s, now)
        self.tracker.breaker(target).record(usage.failed, now)
        queue = self._routes.get(job.route)
        if queue is None:
            return []
        computed = max(0, usage.prompt_tokens - usage.cached_tokens)
        used_tokens = queue.weighted_tokens(computed, usage.completion_tokens)
        self._attained.add(job.program, used_tokens)
        queue.finish(placement, used_tokens)
        return queue.dispatch(now)

    def cancel(self, job: Job) -> None:
        """Removes a waiting request whose caller has disconnected."""
        queue = self._routes.get(job.route)
        if queue is not None:
            queue.cancel(job.request_id)

    def tick(self, now: float) -> list[Decision]:
        """Drops expired peer loads, places waiting requests and refuses late ones."""
        self.tracker.loads.expire(now)
        decisions = []
        for queue in self._routes.values():
            decisions += queue.dispatch(now)
            decisions += queue.expire(now)
        return decisions

    def withdraw_retry(self, job: Job) -> bool:
        """Withdraws a retry from the route's retry budget; returns whether it could."""
        return self._retry_budget(job.route).withdraw()

    def host_load(self) -> HostLoad:
        """Returns this host's in-flight requests by target, to be sent to peers."""
        return HostLoad(dict(self.tracker.loads.own))

    def on_host_load(self, host: str, load: HostLoad, now: float) -> None:
        """Records the in-flight requests of peer ``host``."""
        self.tracker.loads.update_peer(host, load.in_flight, now)

    def on_load_report(self, target: str, report: LoadReport, now: float) -> None:
        """Records a load report of ``target``."""
        self.tracker.loads.update_report(target, report, now)

    def waiting(self) -> int:
        """Returns the number of waiting requests on all routes."""
        return sum(len(queue.queue) for queue in self._routes.values())

    def _retry_budget(self, route: str) -> RetryBudget:
        if route not in self._retry_budgets:
            cfg = self.cfg
            self._retry_budgets[route] = RetryBudget(cfg.retry_ratio, cfg.retry_burst)
        return self._retry_budgets[route]
