"""Service that places the requests of a host at targets."""

import asyncio
import random
import time
from collections.abc import Callable

from loguru import logger
from mode import Service
from returns.result import Failure, Result, Success

from magnoliaroad.background import background_task
from magnoliaroad.config import ConfigService, RouteKind, Target
from magnoliaroad.peers import Peers
from magnoliaroad.queueing.job import Job
from magnoliaroad.refusal import Refusal
from magnoliaroad.routing import metrics
from magnoliaroad.routing.decision import Decision
from magnoliaroad.routing.dispatcher import Dispatcher
from magnoliaroad.routing.engine_poller import EnginePoller
from magnoliaroad.routing.messages import HostLoad
from magnoliaroad.routing.placement import Placement
from magnoliaroad.routing.settings import RoutingSettings
from magnoliaroad.routing.usage import Usage

# Size of a load message on the wire: fixed part, and per target.
LOAD_MESSAGE_BYTES = 20
LOAD_MESSAGE_TARGET_BYTES = 12
# Maximum number of scored targets in a log line, lowest score first.
LOGGED_SCORES = 5


class PlacementService(Service):
    """Queues requests, chooses a target for each and logs the scores.

    Args:
        cfg: Settings of placement.
        data_centre: Data centre of the host.
        config: Configuration in force.
        peers: Other hosts, with which in-flight requests are exchanged.
        leaving: Returns the targets that the platform lists as leaving.
    """

    def __init__(
        self,
        cfg: RoutingSettings,
        data_centre: str,
        config: ConfigService,
        peers: Peers,
        leaving: Callable[[], frozenset[str]] = frozenset,
    ) -> None:
        super().__init__()
        self.cfg = cfg
        self.data_centre = data_centre
        self.dispatcher = Dispatcher(cfg, data_centre)
        self._config = config
        self._peers = peers
        self._leaving = leaving
        self._configured_leaving: frozenset[str] = frozenset()
        self._waiting: dict[str, asyncio.Future[Decision]] = {}
        self._last_load = HostLoad({})
        self._next_load_at = 0.0
        self._rng = random.Random()
        self._poller = EnginePoller(cfg, self.dispatcher.tracker)
        config.on_change(lambda config: self._configure())
        peers.on(HostLoad, self._on_host_load)

    async def acquire(self, job: Job) -> Result[Placement, Refusal]:
        """Waits for a slot for ``job``; returns its placement or a refusal."""
        self._configure_if_leaving()
        future: asyncio.Future[Decision] = asyncio.get_running_loop().create_future()
        self._waiting[job.request_id] = future
        self._deliver(self.dispatcher.submit(job, time.monotonic()))
        try:
            decision = await future
        except asyncio.CancelledError:
            self._cancel(job, future)
            raise
        finally:
            self._waiting.pop(job.request_id, None)
        if isinstance(decision.outcome, Placement):
            return Success(decision.outcome)
        return Failure(decision.outcome)

    def release(self, placement: Placement, usage: Usage) -> None:
        """Releases the slot of a request that has ended, with its token usage."""
        now = time.monotonic()
        self._deliver(self.dispatcher.release(placement, usage, now))
        name = placement.target.name
        tripped = self.dispatcher.tracker.breaker(name).tripped
        metrics.CLOSED_OFF.set({"target": name}, int(tripped))
        computed = max(0, usage.prompt_tokens - usage.cached_tokens)
        metrics.COMPUTED.add({}, computed)
        metrics.CACHED.add({}, usage.cached_tokens)

    def withdraw_retry(self, job: Job) -> bool:
        """Withdraws a retry for ``job`` from its budget; returns whether it could."""
        return self.dispatcher.withdraw_retry(job)

    @background_task
    async def _tick(self) -> None:
        while not self.should_stop:
            await asyncio.sleep(self.cfg.hint_interval_s)
            self._configure_if_leaving()
            self._deliver(self.dispatcher.tick(time.monotonic()))
            self._send_load()

    @background_task
    async def _poll_engines(self) -> None:
        async with self._poller:
            while not self.should_stop:
                await asyncio.sleep(self.cfg.poll_interval_s)
                await self._poller.poll(self._polled_engines())

    def _polled_engines(self) -> list[Target]:
        config = self._config.current
        local = [
            t for t in config.targets.values() if t.data_centre == self.data_centre
        ]
        engines = [
            target
            for target in local or config.targets.values()
            if config.routes[target.route].kind is RouteKind.ENGINE
        ]
        if len(engines) <= self.cfg.watched_engines:
            return engines
        start = self._rng.randrange(len(engines))
        return [*engines[start:], *engines[:start]][: self.cfg.watched_engines]

    def _send_load(self) -> None:
        load = self.dispatcher.host_load()
        idle = not load.in_flight and not self._last_load.in_flight
        if idle or time.monotonic() < self._next_load_at:
            return
        self._last_load = load
        peers = self._peers.addresses()
        if len(peers) > self.cfg.hint_peers:
            peers = self._rng.sample(peers, self.cfg.hint_peers)
        for peer in peers:
            self._peers.send(peer.host, load)
        size = LOAD_MESSAGE_BYTES + LOAD_MESSAGE_TARGET_BYTES * len(load.in_flight)
        pause_s = size * len(peers) / self.cfg.hint_bytes_per_s
        self._next_load_at = time.monotonic() + pause_s

    async def _on_host_load(self, sender: str, load: HostLoad) -> None:
        self.dispatcher.on_host_load(sender, load, time.monotonic())

    def _configure_if_leaving(self) -> None:
        if frozenset(self._leaving()) != self._configured_leaving:
            self._configure()

    def _configure(self) -> None:
        self._configured_leaving = frozenset(self._leaving())
        config = self._config.current
        now = time.monotonic()
        self._deliver(self.dispatcher.configure(config, self._configured_leaving, now))

    def _cancel(self, job: Job, future: asyncio.Future[Decision]) -> None:
        self.dispatcher.cancel(job)
        decided = future.done() and not future.cancelled()
        if decided and isinstance(future.result().outcome, Placement):
            self.release(future.result().outcome, Usage())

    def _deliver(self, decisions: list[Decision]) -> None:
        for decision in decisions:
            self._log(decision)
            future = self._waiting.get(decision.job.request_id)
            if future is not None and not future.done():
                future.set_result(decision)
            elif isinstance(decision.outcome, Placement):
                self.release(decision.outcome, Usage())
        metrics.WAITING.set({}, self.dispatcher.waiting())

    def _log(self, decision: Decision) -> None:
        job, outcome = decision.job, decision.outcome
        log = logger.bind(
            request=job.request_id,
            program=job.program,
            team=job.team,
            route=job.route,
            waited_s=round(decision.waited_s, 4),
            revision=self._config.current.revision,
        )
        if isinstance(outcome, Refusal):
            metrics.REFUSED.inc({"code": outcome.code})
            log.bind(code=outcome.code, reason=outcome.message).info("refused")
            return
        metrics.PLACED.inc({"target": outcome.target.name})
        metrics.WAITED.observe({}, decision.waited_s)
        log.bind(
            scores=_best_scores(decision),
            choice=outcome.target.name,
            priority=outcome.priority,
            reason="lowest score",
        ).info("placed")


def _best_scores(decision: Decision) -> dict[str, dict[str, float]]:
    ranked = sorted(decision.scores.items(), key=lambda item: item[1].total)
    return {
        name: {part: round(value, 4) for part, value in score._asdict().items()}
        for name, score in ranked[:LOGGED_SCORES]
    }
