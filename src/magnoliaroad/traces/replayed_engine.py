"""Simulated engine on the virtual clock."""

import random
from collections.abc import Callable

from magnoliaroad.standins.engine_job import EngineJob
from magnoliaroad.standins.engine_model import EngineModel
from magnoliaroad.standins.engine_sequence import EngineSequence
from magnoliaroad.standins.engine_settings import EngineSettings
from magnoliaroad.traces.clock import VirtualClock


class ReplayedEngine:
    """Advances an engine model whenever its next event is due.

    Args:
        name: Name of the engine.
        cfg: Settings of the engine.
        clock: Clock of the replay.
        on_finished: Callback that runs with each request that has finished.
        seed: Seed of the choice of cache events that are lost.
    """

    def __init__(
        self,
        name: str,
        cfg: EngineSettings,
        clock: VirtualClock,
        on_finished: Callable[[EngineSequence], None],
        seed: int,
    ) -> None:
        self.name = name
        self.model = EngineModel(cfg, random.Random(f"{seed} {name}"))
        self._clock = clock
        self._on_finished = on_finished
        self._wakeup_number = 0

    def submit(self, job: EngineJob) -> None:
        """Submits a request to the engine."""
        self._advance()
        self.model.submit(job, self._clock.now)
        self._schedule_wakeup()

    def _advance(self) -> None:
        for sequence in self.model.advance(self._clock.now):
            self._on_finished(sequence)

    def _schedule_wakeup(self) -> None:
        when = self.model.next_completion_s()
        if when == float("inf"):
            return
        self._wakeup_number += 1
        number = self._wakeup_number
        self._clock.call_at(when, lambda: self._on_wakeup(number))

    def _on_wakeup(self, number: int) -> None:
        if number != self._wakeup_number:
            return
        self._advance()
        self._schedule_wakeup()
