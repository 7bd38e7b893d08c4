"""Replays a trace against the routing code that runs in a host."""

import random

from magnoliaroad.config import Config, Route, RouteKind, Target, Team
from magnoliaroad.limits import TokenBucket
from magnoliaroad.queueing.job import Job
from magnoliaroad.routing.cache_event_applier import CacheEventApplier
from magnoliaroad.routing.decision import Decision
from magnoliaroad.routing.dispatcher import Dispatcher
from magnoliaroad.routing.placement import Placement
from magnoliaroad.routing.usage import Usage
from magnoliaroad.standins.engine_job import EngineJob
from magnoliaroad.standins.engine_sequence import EngineSequence
from magnoliaroad.traces.clock import VirtualClock
from magnoliaroad.traces.program_run import ProgramRun
from magnoliaroad.traces.record import Trace
from magnoliaroad.traces.replayed_engine import ReplayedEngine
from magnoliaroad.traces.report import Report
from magnoliaroad.traces.settings import ReplaySettings

ROUTE = "model"


def replay(trace: Trace, cfg: ReplaySettings) -> Report:
    """Returns the results of replaying ``trace`` with ``cfg``."""
    return Replay(trace, cfg).run()


class Replay:
    """Simulates the hosts, engines and callers of one replay.

    Args:
        trace: The trace to replay.
        cfg: Settings of the replay.
    """

    def __init__(self, trace: Trace, cfg: ReplaySettings) -> None:
        self.trace = trace
        self.cfg = cfg
        self.clock = VirtualClock()
        self.engines = {
            f"engine-{index}": ReplayedEngine(
                f"engine-{index}", cfg.engine, self.clock, self._on_answered, cfg.seed
            )
            for index in range(cfg.engines)
        }
        self.hosts = [
            Dispatcher(cfg.routing, self._data_centre(index))
            for index in range(cfg.hosts)
        ]
        self._rng = random.Random(cfg.seed)
        self._records = {record["program"]: record for record in trace.programs}
        self._runs: dict[str, ProgramRun] = {}
        self._placements: dict[str, Placement] = {}
        self._appliers = [
            {
                name: CacheEventApplier(name, host.tracker.prefixes)
                for name in self.engines
            }
            for host in self.hosts
        ]
        self._buckets = {
            team["name"]: TokenBucket(team["rate"], team["burst"], 0.0)
            for team in trace.header["teams"]
        }
        self._within_rate: dict[str, bool] = {}
        self._programs_left = len(trace.programs)
        self._latencies: list[tuple[str, float]] = []
        self._prompt_tokens = 0
        self._recomputed_tokens = 0
        self._refusals = 0
        self._wrongful_refusals = 0
        self._last_end_s = 0.0

    def run(self) -> Report:
        """Runs the replay until every program has ended or its time limit passes."""
        config = self._config()
        for index, host in enumerate(self.hosts):
            host.configure(config, (), 0.0)
            # Phases are staggered, because real hosts are not synchronized.
            phase = index / len(self.hosts)
            self.clock.call_at(
                self.cfg.routing.hint_interval_s * phase, self._dispatcher_ticker(index)
            )
            self.clock.call_at(
                self.cfg.routing.poll_interval_s * phase, self._engine_poller(index)
            )
        for record in self.trace.programs:
            if not record["helper"]:
                run = ProgramRun(record, None)
                self.clock.call_at(
                    record["start_s"], lambda run=run: self._start_program(run)
                )
        self.clock.run(lambda: self._programs_left == 0, self.cfg.limit_s)
        return self._report()

    def _start_program(self, run: ProgramRun) -> None:
        run.started_s = self.clock.now
        run.host = self._rng.randrange(len(self.hosts))
        self._runs[run.record["program"]] = run
        self._send_call(run)

    def _send_call(self, run: ProgramRun) -> None:
        """Sends the next call of a program, at times to a randomly chosen host."""
        if self._rng.random() < self.cfg.change_share:
            run.host = self._rng.randrange(len(self.hosts))
        team = run.record["team"]
        request_id = f"{run.record['program']}/{run.turn_index}"
        if request_id not in self._within_rate:
            bucket = self._buckets[team]
            self._within_rate[request_id] = bucket.try_consume(self.clock.now)
        prompt = run.history_tokens + run.turn["new_tokens"]
        job = Job(
            request_id=request_id,
            program=run.record["program"],
            team=team,
            route=ROUTE,
            prompt_tokens=prompt,
            max_tokens=1024,
            prefix=run.prefix(prompt),
        )
        self._apply_decisions(
            run.host, self.hosts[run.host].submit(job, self.clock.now)
        )

    def _apply_decisions(self, host: int, decisions: list[Decision]) -> None:
        for decision in decisions:
            run = self._runs[decision.job.program]
            if isinstance(decision.outcome, Placement):
                self._send_to_engine(host, run, decision.outcome)
            else:
                self._retry_refused(run, decision)

    def _retry_refused(self, run: ProgramRun, decision: Decision) -> None:
        self._refusals += 1
        self._wrongful_refusals += self._within_rate[decision.job.request_id]
        wait_s = decision.outcome.retry_after_s or 1.0
        self.clock.call_later(wait_s, lambda: self._send_call(run))

    def _send_to_engine(self, host: int, run: ProgramRun, placement: Placement) -> None:
        job = placement.job
        self._placements[job.request_id] = placement
        answer_tokens = run.turn["answer_tokens"]
        engine_job = EngineJob(
            request_id=job.request_id,
            program=job.program,
            prefix=job.prefix,
            prompt_tokens=job.prompt_tokens,
            answer_tokens=answer_tokens,
            priority=placement.priority,
            history=run.prefix(job.prompt_tokens + answer_tokens),
        )
        name = placement.target.name
        run.engines.add(name)
        engine = self.engines[name]
        delay_s = self._delay_s(host, placement)
        self.clock.call_later(delay_s, lambda: engine.submit(engine_job))

    def _on_answered(self, sequence: EngineSequence) -> None:
        job = sequence.job
        placement = self._placements.pop(job.request_id)
        run = self._runs[job.program]
        host = run.host
        self._prompt_tokens += job.prompt_tokens
        self._recomputed_tokens += max(0, run.computed_tokens - sequence.cached_tokens)
        usage = Usage(job.prompt_tokens, sequence.cached_tokens, job.answer_tokens)

        def deliver() -> None:
            decisions = self.hosts[host].release(placement, usage, self.clock.now)
            self._apply_decisions(host, decisions)
            self._finish_turn(run, job)

        self.clock.call_later(self._delay_s(host, placement), deliver)

    def _finish_turn(self, run: ProgramRun, job: EngineJob) -> None:
        turn = run.turn
        run.history_tokens = run.computed_tokens = job.prompt_tokens + job.answer_tokens
        run.turn_index += 1
        if run.ended:
            self._end_program(run)
            return
        run.pending_waits = len(turn["helpers"]) + 1
        for name in turn["helpers"]:
            self._start_program(ProgramRun(self._records[name], run))
        self.clock.call_later(turn["pause_s"], lambda: self._on_wait_ended(run))

    def _on_wait_ended(self, run: ProgramRun) -> None:
        run.pending_waits -= 1
        if run.pending_waits == 0:
            self._send_call(run)

    def _end_program(self, run: ProgramRun) -> None:
        self._programs_left -= 1
        self._last_end_s = self.clock.now
        program = run.record["program"]
        del self._runs[program]
        if self.cfg.release_ended:
            for name in run.engines:
                self.engines[name].model.release(program, 0, self.clock.now)
        if run.parent is not None:
            self._on_wait_ended(run.parent)
            return
        latency_s = self.clock.now - run.started_s
        self._latencies.append((run.record["team"], latency_s))

    def _dispatcher_ticker(self, index: int):
        def tick() -> None:
            now = self.clock.now
            host = self.hosts[index]
            self._apply_decisions(index, host.tick(now))
            load = host.host_load()
            for receiver in range(len(self.hosts)):
                if receiver != index:
                    self.clock.call_later(
                        self.cfg.far_s, self._load_delivery(receiver, index, load)
                    )
            self.clock.call_later(self.cfg.routing.hint_interval_s, tick)

        return tick

    def _load_delivery(self, receiver: int, sender: int, load):
        return lambda: self.hosts[receiver].on_host_load(
            f"host-{sender}", load, self.clock.now
        )

    def _engine_poller(self, index: int):
        def poll() -> None:
            now = self.clock.now
            for name, engine in self.engines.items():
                self.hosts[index].on_load_report(name, engine.model.load(now), now)
                applier = self._appliers[index][name]
                applier.apply(engine.model.events(applier.last_number, now), now)
            self.clock.call_later(self.cfg.routing.poll_interval_s, poll)

        return poll

    def _data_centre(self, index: int) -> str:
        return f"data-centre-{index % self.cfg.data_centres}"

    def _delay_s(self, host: int, placement: Placement) -> float:
        same_data_centre = placement.target.data_centre == self._data_centre(host)
        return self.cfg.near_s if same_data_centre else self.cfg.far_s

    def _config(self) -> Config:
        targets = [
            Target(name, ROUTE, "", self._data_centre(index))
            for index, name in enumerate(self.engines)
        ]
        teams = [
            Team(team["name"], team["rate"], team["burst"], team["weight"])
            for team in self.trace.header["teams"]
        ]
        return Config(
            revision=1,
            teams={team.name: team for team in teams},
            routes={ROUTE: Route(ROUTE, RouteKind.ENGINE)},
            targets={target.name: target for target in targets},
        )

    def _report(self) -> Report:
        return Report(
            latencies=self._latencies,
            prompt_tokens=self._prompt_tokens,
            recomputed_tokens=self._recomputed_tokens,
            refusals=self._refusals,
            wrongful_refusals=self._wrongful_refusals,
            unanswered=self._programs_left,
            ended_s=self._last_end_s,
            held_blocks=sum(len(e.model.cache) for e in self.engines.values()),
        )
