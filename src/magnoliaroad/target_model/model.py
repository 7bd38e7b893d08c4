"""The model of the targets of a host."""

from collections.abc import Callable, Container, Iterable, Sequence
from typing import TypeVar

from magnoliaroad.relay.dialect import TargetLoad
from magnoliaroad.relay.plan import RelayService
from magnoliaroad.relay.target import RelayTarget, TargetStart, start_of
from magnoliaroad.relay.target_table import TargetTable
from magnoliaroad.target_model.expected_end import Candidate
from magnoliaroad.target_model.messages import PaceReport
from magnoliaroad.target_model.metrics import KNOWN_PACES, MODEL_ERROR, PACE
from magnoliaroad.target_model.pace import EventTimes, Pace, PaceTable
from magnoliaroad.target_model.plain_choice import PlainCandidate
from magnoliaroad.target_model.settings import PlacementSettings
from magnoliaroad.target_model.stated_loads import StatedLoads

# Weight of a new turn in the mean number of events and of tokens of a service's turns.
TURN_WEIGHT = 0.05
# Time to compute a prompt anew while that of a token is not known, as part of a turn's
# time: about as much as a batch that is a third larger costs.
PROMPT_PART = 0.33
# Age up to which an estimate is sent to peers, in seconds.
TOLD_WITHIN_S = 1.5
# Largest factor by which the time for one prompt may exceed the mean; one that waited
# for a slot at the target unnoticed takes much longer.
MAX_PROMPT_FACTOR = 3.0
# Most targets in one report.
MAX_TOLD = 64
MICROSECONDS = 1e6

Key = TypeVar("Key")


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
        self._mean_events: dict[tuple[str, str], float] = {}
        self._mean_tokens: dict[str, float] = {}
        # Time to compute a token of a prompt at a target of median speed, by service.
        self._prompt_token_s: dict[str, float] = {}

    def is_active(self, service: str, now: float) -> bool:
        """Whether the model decides where requests of a service go."""
        if self.cfg.by_expected_end == "auto":
            return self.loads.states_slowdown(service, now)
        return self.cfg.by_expected_end == "on"

    def record_load(self, target: RelayTarget, load: TargetLoad, now: float) -> None:
        """Records the load that a target has stated."""
        if load.slowdown is None and self.cfg.by_expected_end != "on":
            return
        own = self._table.in_flight.get(target.name, 0)
        self.loads.record(target, load, own, now)

    def record_pace(self, target: RelayTarget, times: EventTimes, now: float) -> None:
        """Records how long a target took for the events of a stream, whole or not."""
        if times.events:
            self.paces.record(start_of(target), times.mean_s, now)

    def record_prompt(
        self, target: RelayTarget, tokens: int, took_s: float, now: float
    ) -> None:
        """Records how long a target took for a prompt that it did not hold.

        Without effect while requests wait there, whose time would count too.

        Args:
            target: The target.
            tokens: Tokens of the prompt.
            took_s: Time until the first event, in seconds.
            now: Time in seconds.
        """
        if tokens <= 0 or self._load(target, now) > target.slots:
            return
        known = self.paces.find(start_of(target), now)
        usual_s = self._usual_pace_s(target.service, now)
        speed = known / usual_s if known and usual_s else 1.0
        token_s = took_s / tokens / speed / self.loads.slowdown(target, now)
        before = self._prompt_token_s.get(target.service, token_s)
        token_s = min(token_s, MAX_PROMPT_FACTOR * before)
        _update_mean(self._prompt_token_s, target.service, token_s)

    def _usual_pace_s(self, service: str, now: float) -> float | None:
        targets = self._table.targets.values()
        starts = [start_of(target) for target in targets if target.service == service]
        return self.paces.median(starts, now)

    def record_turn(
        self,
        service: str,
        route: str,
        events: int,
        tokens: int,
        expected_s: float,
        took_s: float,
    ) -> None:
        """Records a turn that has ended; without effect if it had no events.

        Args:
            service: Its service.
            route: Its route.
            events: Number of its events.
            tokens: Tokens of its prompt and of its output.
            expected_s: Time that it was expected to take, in seconds; 0 if unknown.
            took_s: Time that it took, in seconds.
        """
        if not events:
            return
        # Routes of one service differ in the length of their turns; the mean of the
        # service holds for a route that has had none yet.
        _update_mean(self._mean_events, (service, route), events)
        _update_mean(self._mean_events, (service, ""), events)
        _update_mean(self._mean_tokens, service, tokens)
        if expected_s > 0 and took_s > 0:
            MODEL_ERROR.observe({}, abs(expected_s - took_s) / took_s)

    def candidates(
        self,
        targets: Sequence[RelayTarget],
        route: str,
        data_centre: str,
        prompt_tokens: int,
        now: float,
    ) -> list[Candidate]:
        """Returns what is known of targets; empty if too little is.

        Args:
            targets: Targets of one service.
            route: Route of the request.
            data_centre: Data centre of this host.
            prompt_tokens: Tokens of its prompt; 0 if unknown.
            now: Time in seconds.
        """
        service = targets[0].service
        usual_s = self.paces.median(map(start_of, targets), now)
        events = self._mean_events.get((service, route))
        if events is None:
            events = self._mean_events.get((service, ""))
        if usual_s is None or events is None:
            return []
        plan = self._find_service(service)
        memory = plan.memory_tokens if plan is not None else 0
        token_s = self._prompt_token_s.get(service, 0.0)
        if prompt_tokens and token_s:
            prompt_events = prompt_tokens * token_s / usual_s
        else:
            prompt_events = PROMPT_PART * events
        return [
            self._candidate(
                target, usual_s, events, prompt_events, memory, data_centre, now
            )
            for target in targets
        ]

    def _candidate(
        self,
        target: RelayTarget,
        usual_s: float,
        events: float,
        prompt_events: float,
        memory: int,
        data_centre: str,
        now: float,
    ) -> Candidate:
        pace_s = self.paces.find(start_of(target), now) or usual_s
        load = self._load(target, now)
        held = load * self._mean_tokens.get(target.service, 0.0)
        event_s = pace_s * self.loads.slowdown(target, now)
        return Candidate(
            name=target.name,
            turn_s=events * event_s,
            load=load,
            slots=target.slots,
            is_far=target.data_centre != data_centre,
            free_tokens=memory - held if memory else float("inf"),
            prompt_s=prompt_events * event_s,
        )

    def plain_candidates(
        self, targets: Iterable[RelayTarget], data_centre: str, now: float
    ) -> list[PlainCandidate]:
        """Returns what is known of targets of a plain service.

        Args:
            targets: The targets.
            data_centre: Data centre of this host.
            now: Time in seconds.
        """
        return [
            PlainCandidate(
                name=target.name,
                load=self._load(target, now),
                slots=target.slots,
                is_far=target.data_centre != data_centre,
                slowdown=self.loads.slowdown(target, now),
            )
            for target in targets
        ]

    def loads_of(
        self, targets: Iterable[RelayTarget], now: float
    ) -> list[tuple[float, int]]:
        """Returns the requests and the slots of each target."""
        return [(self._load(target, now), target.slots) for target in targets]

    def _load(self, target: RelayTarget, now: float) -> float:
        name = target.name
        own = self._table.in_flight.get(name, 0)
        return self.loads.load(target, self._table.load(name), own, now)

    def report(self, now: float) -> PaceReport:
        """Returns this host's latest estimates, to be sent to a peer."""
        return _report_of(self.paces.recent(now, TOLD_WITHIN_S))

    def report_all(self, now: float) -> PaceReport:
        """Returns all estimates, for a peer that starts."""
        return _report_of(self.paces.known(now))

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
        PACE.clear()
        for start, pace in self.paces.known(now):
            PACE.set({"target": start.name}, pace.mean_s)

    def services(self) -> Iterable[str]:
        """Returns the services of the known targets."""
        return {target.service for target in self._table.targets.values()}


def _update_mean(means: dict[Key, float], key: Key, value: float) -> None:
    before = means.get(key, float(value))
    means[key] = before + TURN_WEIGHT * (value - before)


def _report_of(known: list[tuple[TargetStart, Pace]]) -> PaceReport:
    """Returns the newest estimates, as many as one report may have."""
    known.sort(key=lambda item: item[1].at, reverse=True)
    return PaceReport(
        [
            (*start, round(pace.mean_s * MICROSECONDS), pace.samples)
            for start, pace in known[:MAX_TOLD]
        ]
    )
