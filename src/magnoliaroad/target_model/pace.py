"""How long targets take for one event of a stream, learnt from their answers."""

import math
import statistics
from collections.abc import Container, Iterable
from typing import NamedTuple

from magnoliaroad.relay.target import TargetStart

# Largest factor by which one sample may differ from the estimate; what lies beyond
# counts as that much. Neighbours on a machine make work take up to 2.5 times as long
# for a fraction of a second, which must not look like a slow machine.
MAX_SAMPLE_FACTOR = 1.5
# Number of samples that an estimate stands for at most, so that it follows a machine
# that stays slow. Each stream gives one: its events all meet the same slowdowns.
MAX_SAMPLES = 16
# Samples before which an estimate is not used: the first may have met a slowdown.
MIN_SAMPLES = 2
# Time without news after which an estimate is dropped, in seconds: programs of its
# next customers would else avoid or overload the target because of outdated figures.
LIFETIME_S = 60.0


class Pace(NamedTuple):
    """The estimate for one target.

    Attributes:
        mean_s: Time for an event while its machine is as fast as usual, in seconds.
        samples: Number of samples that it stands for.
        at: Time of the last sample or news of a peer, in seconds.
        sampled_at: Time of the last sample of this host, in seconds; negative infinity
            if there is none.
    """

    mean_s: float
    samples: int
    at: float
    sampled_at: float


class EventTimes:
    """The time that a target takes for the events of one stream.

    Attributes:
        events: Number of events whose time is known.
    """

    def __init__(self) -> None:
        self.events = 0
        self._work_s = 0.0

    def add(self, time_s: float, events: int, slowdown: float) -> None:
        """Adds the time of some events.

        Args:
            time_s: Time from the event before them to the last of them, in seconds.
            events: Number of events.
            slowdown: What the target states meanwhile; 1 if it states nothing.
        """
        self.events += events
        self._work_s += time_s / max(1.0, slowdown)

    @property
    def mean_s(self) -> float:
        """Time for one event without the slowdown, in seconds."""
        return self._work_s / max(1, self.events)


class PaceTable:
    """The pace of each target.

    For the load pattern of machines of different speed: a request takes twice as long
    on a slow one, at each turn of its program.
    """

    def __init__(self) -> None:
        self._paces: dict[TargetStart, Pace] = {}

    def record(self, start: TargetStart, sample_s: float, now: float) -> None:
        """Adds the mean time for an event of one stream.

        Args:
            start: The target.
            sample_s: Time for one event without the slowdown, in seconds.
            now: Time in seconds.
        """
        known = self._current(start, now)
        if known is None:
            self._paces[start] = Pace(sample_s, 1, now, now)
            return
        low_s, high_s = (
            known.mean_s / MAX_SAMPLE_FACTOR,
            known.mean_s * MAX_SAMPLE_FACTOR,
        )
        samples = min(MAX_SAMPLES, known.samples + 1)
        step_s = min(high_s, max(low_s, sample_s)) - known.mean_s
        self._paces[start] = Pace(known.mean_s + step_s / samples, samples, now, now)

    def merge(
        self, start: TargetStart, mean_s: float, samples: int, now: float
    ) -> None:
        """Combines the estimate of a peer with that of this host."""
        samples = min(MAX_SAMPLES, samples)
        known = self._current(start, now)
        if known is None:
            self._paces[start] = Pace(mean_s, samples, now, -math.inf)
            return
        both = known.samples + samples
        mean_s = (known.mean_s * known.samples + mean_s * samples) / both
        most = max(known.samples, samples)
        self._paces[start] = Pace(mean_s, most, now, known.sampled_at)

    def find(self, start: TargetStart, now: float) -> float | None:
        """Returns the time for an event of a target; ``None`` if it is not known."""
        pace = self._current(start, now)
        return None if pace is None or pace.samples < MIN_SAMPLES else pace.mean_s

    def _current(self, start: TargetStart, now: float) -> Pace | None:
        """Returns the estimate for a target; ``None`` if there is none or it is old."""
        pace = self._paces.get(start)
        return None if pace is None or now - pace.at > LIFETIME_S else pace

    def median(self, starts: Iterable[TargetStart], now: float) -> float | None:
        """Returns the median pace of the targets that have one."""
        known = [
            pace for start in starts if (pace := self.find(start, now)) is not None
        ]
        return statistics.median(known) if known else None

    def recent(self, now: float, within_s: float) -> list[tuple[TargetStart, Pace]]:
        """Returns the estimates with an own sample of the last ``within_s`` seconds.

        What peers have told is not told on: it would go round without end, and no
        estimate without news would ever be dropped.
        """
        return [
            (start, pace)
            for start, pace in self._paces.items()
            if now - pace.sampled_at <= within_s
        ]

    def known(self, now: float) -> list[tuple[TargetStart, Pace]]:
        """Returns all estimates that are not outdated."""
        return [
            (start, pace)
            for start, pace in self._paces.items()
            if now - pace.at <= LIFETIME_S
        ]

    def __len__(self) -> int:
        return len(self._paces)

    def sweep(self, now: float, names: Container[str]) -> None:
        """Drops the estimates of targets that are gone or have no news."""
        self._paces = {
            start: pace
            for start, pace in self._paces.items()
            if start.name in names and now - pace.at <= LIFETIME_S
        }
