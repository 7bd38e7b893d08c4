"""Simulation of a model engine with continuous batching, in virtual time."""

import collections
import heapq
import random

from magnoliaroad.routing.load_report import LoadReport
from magnoliaroad.routing.prefix import BLOCK_TOKENS
from magnoliaroad.standins.cache_event import CacheEvent
from magnoliaroad.standins.engine_job import EngineJob
from magnoliaroad.standins.engine_sequence import EngineSequence
from magnoliaroad.standins.engine_settings import EngineSettings
from magnoliaroad.standins.prefix_cache import PrefixCache

MAX_ENDED_REQUESTS = 1000
# Tolerance in steps, so that a step that ends exactly at the requested time is run
# despite floating-point rounding.
STEP_TOLERANCE = 1e-6


class EngineModel:
    """Simulates the engine step by step.

    Times are in seconds and must not decrease between calls. Each step generates one
    token for every running request whose prompt is computed, and computes one chunk
    of the first prompt that is not.

    Args:
        cfg: Settings of the engine.
        rng: Decides which cache events are lost.
    """

    def __init__(self, cfg: EngineSettings, rng: random.Random) -> None:
        self.cfg = cfg
        self.running: dict[str, EngineSequence] = {}
        self.ended: collections.OrderedDict[str, EngineSequence] = (
            collections.OrderedDict()
        )
        self.cache = PrefixCache(self._record_cache_event)
        self.fence = 0
        self.computed_tokens = 0
        self._rng = rng
        self._clock = 0.0
        self._waiting: list[tuple[int, int, EngineJob]] = []
        self._cancelled: set[str] = set()
        self._submitted = 0
        self._events: collections.deque[tuple[float, CacheEvent]] = collections.deque(
            maxlen=cfg.event_limit
        )
        self.event_number = 0
        self._loads: collections.deque[tuple[float, LoadReport]] = collections.deque()
        self._held_tokens = 0

    def submit(self, job: EngineJob, now: float) -> None:
        """Adds ``job`` to the engine's queue."""
        if not self.running and not self._waiting:
            self._clock = max(self._clock, now)
        self._submitted += 1
        heapq.heappush(self._waiting, (job.priority, self._submitted, job))
        self._admit()
        self._record_load(now)

    def cancel(self, request_id: str, now: float) -> bool:
        """Cancels a request; returns whether it was running or queued."""
        seq = self.running.pop(request_id, None)
        if seq is not None:
            self._held_tokens -= seq.held_tokens
            self._record_ended(seq)
            if not self.running:
                self._clock = max(self._clock, now)
            self._admit()
            return True
        queued = any(job.request_id == request_id for _, _, job in self._waiting)
        if queued:
            self._cancelled.add(request_id)
        return queued

    def advance(self, now: float) -> list[EngineSequence]:
        """Runs the steps that end by ``now``; returns the requests that finished."""
        finished: list[EngineSequence] = []
        while self.running:
            step_s = self._step_s()
            fitting = int((now - self._clock) / step_s + STEP_TOLERANCE)
            count = min(fitting, self._steps_until_change())
            if count <= 0:
                break
            self._clock += count * step_s
            ended_now = self._run_steps(count)
            finished += ended_now
            if ended_now:
                self._admit()
        if finished:
            self._record_load(now)
        return finished

    def next_completion_s(self) -> float:
        """Returns the time at which the next prompt or answer will be complete.

        It is infinite while no request runs.
        """
        if not self.running:
            return float("inf")
        return self._clock + self._steps_until_change() * self._step_s()

    def load(self, now: float) -> LoadReport:
        """Returns the load as it was ``load_lag_s`` ago."""
        cutoff = now - self.cfg.load_lag_s
        while len(self._loads) > 1 and self._loads[1][0] <= cutoff:
            self._loads.popleft()
        if not self._loads or self._loads[0][0] > cutoff:
            return LoadReport()
        return self._loads[0][1]

    def events(self, after: int, now: float) -> list[CacheEvent]:
        """Returns the published cache events with numbers above ``after``."""
        cutoff = now - self.cfg.event_lag_s
        found = []
        for at, event in reversed(self._events):
            if event.number <= after:
                break
            if at <= cutoff:
                found.append(event)
        return found[::-1]

    def cache_bytes_by_program(self) -> dict[str, int]:
        """Returns the cache memory in bytes that only one program uses, by program."""
        size = BLOCK_TOKENS * self.cfg.bytes_per_token
        return {name: count * size for name, count in self.cache.programs().items()}

    def release(self, program: str, fence: int, now: float) -> int | None:
        """Evicts the blocks that only ``program`` uses.

        Returns:
            The number of evicted blocks; ``None`` if ``fence`` is stale.
        """
        self._clock = max(self._clock, now) if not self.running else self._clock
        return self.cache.release(program) if self.accept_fence(fence) else None

    def accept_fence(self, fence: int) -> bool:
        """Returns whether an order with this fencing token is accepted.

        A fenced engine refuses tokens lower than the highest one it has seen.
        """
        if self.cfg.fenced and fence < self.fence:
            return False
        self.fence = max(self.fence, fence)
        return True

    def _admit(self) -> None:
        while self._waiting and len(self.running) < self.cfg.batch:
            job = self._waiting[0][2]
            if job.request_id in self._cancelled:
                self._cancelled.discard(job.request_id)
                heapq.heappop(self._waiting)
                continue
            seq = EngineSequence(job, self._cached_prompt_tokens(job))
            held = self._held_tokens + seq.held_tokens
            if self.running and held > self.cfg.memory_tokens:
                break
            heapq.heappop(self._waiting)
            self._held_tokens = held
            self.running[job.request_id] = seq
            self.computed_tokens += seq.prefill_remaining
            self._shrink_cache()

    def _cached_prompt_tokens(self, job: EngineJob) -> int:
        # Real engines always compute the last token of the prompt too.
        return min(self.cache.match(job.prefix), max(0, job.prompt_tokens - 1))

    def _shrink_cache(self) -> None:
        left = self.cfg.memory_tokens - self._held_tokens
        self.cache.shrink(left // BLOCK_TOKENS)

    def _first_prefill(self) -> EngineSequence | None:
        for seq in self.running.values():
            if seq.prefill_remaining > 0:
                return seq
        return None

    def _steps_until_change(self) -> int:
        """Returns the steps until a request starts or finishes generating.

        Until then all steps take the same time, so they can be run at once.
        """
        left = [
            seq.remaining_tokens if seq.first_token_s is not None else 1
            for seq in self.running.values()
            if seq.prefill_remaining <= 0
        ]
        prefill = self._first_prefill()
        if prefill is not None:
            left.append(max(1, prefill.prefill_remaining // self.cfg.chunk_tokens))
        return max(1, min(left))

    def _step_s(self) -> float:
        cfg = self.cfg
        prefill = self._first_prefill()
        chunk = (
            0 if prefill is None else min(prefill.prefill_remaining, cfg.chunk_tokens)
        )
        batch_s = cfg.step_per_request_s * len(self.running)
        return cfg.step_s + batch_s + chunk / cfg.prefill_tokens_per_s

    def _run_steps(self, count: int) -> list[EngineSequence]:
        prefill = self._first_prefill()
        finished = []
        for seq in self.running.values():
            if seq.prefill_remaining <= 0:
                self._generate(seq, count)
            if seq.remaining_tokens <= 0:
                finished.append(seq)
        if prefill is not None:
            prefill.prefill_remaining -= count * self.cfg.chunk_tokens
        for seq in finished:
            self._finish(seq)
        return finished

    def _generate(self, seq: EngineSequence, count: int) -> None:
        if seq.first_token_s is None:
            seq.first_token_s = self._clock
            self._move_prompt_to_cache(seq)
        seq.generated += count

    def _move_prompt_to_cache(self, seq: EngineSequence) -> None:
        """Moves the memory of a computed prompt from the request to the cache."""
        answer_tokens = seq.job.answer_tokens
        self._held_tokens -= seq.held_tokens - answer_tokens
        seq.held_tokens = answer_tokens
        self.cache.store(seq.job.prefix, seq.job.program)
        self._shrink_cache()

    def _finish(self, seq: EngineSequence) -> None:
        seq.finished_s = self._clock
        self._held_tokens -= seq.held_tokens
        del self.running[seq.job.request_id]
        self.cache.store(seq.job.history or seq.job.prefix, seq.job.program)
        self._shrink_cache()
        self._record_ended(seq)

    def _record_ended(self, seq: EngineSequence) -> None:
        self.ended[seq.job.request_id] = seq
        while len(self.ended) > MAX_ENDED_REQUESTS:
            self.ended.popitem(last=False)

    def _record_cache_event(self, digest: int, stored: bool) -> None:
        self.event_number += 1
        if self._rng.random() >= self.cfg.event_gap:
            event = CacheEvent(self.event_number, stored, digest)
            self._events.append((self._clock, event))

    def _record_load(self, now: float) -> None:
        self._loads.append((now, LoadReport(len(self.running), len(self._waiting))))
