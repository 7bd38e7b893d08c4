"""The model of the targets of a host."""

from collections.abc import Callable, Container, Iterable, Sequence

from magnoliaroad.relay.dialect import TargetLoad
from magnoliaroad.relay.plan import RelayService
from magnoliaroad.relay.target import RelayTarget, TargetStart, start_of
from magnoliaroad.relay.target_table import TargetTable
from magnoliaroad.target_model.expected_end import Candidate
from magnoliaroad.target_model.messages import PaceReport
from magnoliaroad.target_model.metrics import KNOWN_PACES, MODEL_ERROR
from magnoliaroad.target_model.pace import PaceTable
from magnoliaroad.target_model.settings import PlacementSettings
from magnoliaroad.target_model.stated_loads import StatedLoads

# Weight of a new turn in the mean number of events and of tokens of a service's turns.
TURN_WEIGHT = 0.05
# Time within which an estimate was renewed to be told to peers, in seconds.
TOLD_WITHIN_S = 1.5
# Most targets in one report.
MAX_TOLD = 64
MICROSECONDS = 1e6


class TargetModel:
    """What is known of each target: its pace, its load, and what its turns are like.

    Args:
        cfg: When streams are placed by their expected end.
        table: The targets with the counts of the hosts.
        find_service: Returns a service of the configuration in force, if it is there.
    """

    def __init__(
        self,
        cfg: PlacementSettings,
        table: TargetTable,
        find_service: Callable[[str], RelayService | None],
    ) -> None:
        self.cfg = cfg
        self.paces = PaceTable()
        self.loads = StatedLoads()
        self._table = table
        self._find_service = find_service
        self._mean_events: dict[str, float] = {}
        self._mean_tokens: dict[str, float] = {}

    def is_active(self, service: str, now: float) -> bool:
        """Whether streams of a service are placed by their expected end."""
        if self.cfg.by_expected_end == "auto":
            return self.loads.states_slowdown(service, now)
        return self.cfg.by_expected_end == "on"

    def record_load(self, target: RelayTarget, load: TargetLoad, now: float) -> None:
        """Records the load that a target has stated."""
        self.loads.record(target, load, now)

    def record_gap(self, target: RelayTarget, gap_s: float, now: float) -> None:
        """Records the time that a target took for an event."""
        slowdown = self.loads.slowdown(target, now)
        self.paces.record(start_of(target), gap_s, slowdown, now)

    def record_turn(
        self, service: str, events: int, tokens: int, expected_s: float, took_s: float
    ) -> None:
        """Records a turn that has ended.

        Args:
            service: Its service.
            events: Number of its events.
            tokens: Tokens of its prompt and of its output.
            expected_s: Time that it was expected to take, in seconds; 0 if unknown.
            took_s: Time that it took, in seconds.
        """
        for means, value in ((self._mean_events, events), (self._mean_tokens, tokens)):
            before = means.get(service, float(value))
            means[service] = before + TURN_WEIGHT * (value - before)
        if expected_s > 0 and took_s > 0:
            MODEL_ERROR.observe({}, abs(expected_s - took_s) / took_s)

    def candidates(
        self, targets: Sequence[RelayTarget], data_centre: str, now: float
    ) -> list[Candidate]:
        """Returns what is known of targets; empty if too little is.

        Args:
            targets: Targets of one service.
            data_centre: Data centre of this host.
            now: Time in seconds.
        """
        service = targets[0].service
        usual_s = self.paces.median(map(start_of, targets), now)
        events = self._mean_events.get(service)
        if usual_s is None or events is None:
            return []
        plan = self._find_service(service)
        memory = plan.memory_tokens if plan is not None else 0
        return [
            self._candidate(target, usual_s, events, memory, data_centre, now)
            for target in targets
        ]

    def _candidate(
        self,
        target: RelayTarget,
        usual_s: float,
        events: float,
        memory: int,
        data_centre: str,
        now: float,
    ) -> Candidate:
        pace_s = self.paces.find(start_of(target), now) or usual_s
        load = self.loads.load(target, self._table.load(target.name), now)
        held = load * self._mean_tokens.get(target.service, 0.0)
        return Candidate(
            name=target.name,
            turn_s=events * pace_s * self.loads.slowdown(target, now),
            load=load,
            slots=target.slots,
            is_far=target.data_centre != data_centre,
            free_tokens=memory - held if memory else float("inf"),
        )

    def loads_of(
        self, targets: Iterable[RelayTarget], now: float
    ) -> list[tuple[float, int]]:
        """Returns the requests and the slots of each target."""
        return [
            (self.loads.load(t, self._table.load(t.name), now), t.slots)
            for t in targets
        ]

    def report(self, now: float, within_s: float = TOLD_WITHIN_S) -> PaceReport:
        """Returns the estimates that were renewed lately, to be told to a peer."""
        known = self.paces.recent(now, within_s)[:MAX_TOLD]
        return PaceReport(
            [
                (*start, round(pace.mean_s * MICROSECONDS), pace.samples)
                for start, pace in known
            ]
        )

    def merge(self, report: PaceReport, now: float) -> None:
        """Combines the estimates of a peer with those of this host."""
        for name, started_ms, mean_us, samples in report.paces[:MAX_TOLD]:
            target = self._table.targets.get(name)
            sound = mean_us > 0 and samples > 0
            if sound and target is not None and target.started_ms == started_ms:
                start = TargetStart(name, started_ms)
                self.paces.merge(start, mean_us / MICROSECONDS, samples, now)

    def sweep(self, now: float, names: Container[str]) -> None:
        """Drops what is known of targets that are gone."""
        self.paces.sweep(now, names)
        self.loads.sweep(now, names)
        KNOWN_PACES.set({}, len(self.paces))

    def services(self) -> Iterable[str]:
        """Returns the services of the known targets."""
        return {target.service for target in self._table.targets.values()}
