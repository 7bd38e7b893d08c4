"""Chooses the targets of requests, within the limits that the targets state."""

import asyncio
import time
from collections.abc import Callable, Mapping, Sequence
from types import MappingProxyType
from typing import NamedTuple

from magnoliaroad.refusal import Refusal
from magnoliaroad.relay.metrics import PROGRAM_TURNS
from magnoliaroad.relay.placement import (
    SPARE_SLOTS_FRACTION,
    choose_by_program,
    choose_by_session,
    choose_least_loaded,
)
from magnoliaroad.relay.program_targets import ProgramTargets
from magnoliaroad.relay.refusals import (
    NO_TARGET,
    NO_TARGET_IN_REGION,
    NO_TARGET_OF_VERSION,
    TARGETS_EVACUATED,
    TARGETS_FULL,
    targets_limited,
)
from magnoliaroad.relay.settings import RelaySettings
from magnoliaroad.relay.target import RelayTarget, start_of
from magnoliaroad.relay.target_limit import FIRST_TRY, FURTHER_TRY, PROMPT_HELD
from magnoliaroad.relay.target_limiter import TargetLimiter
from magnoliaroad.relay.target_table import TargetTable
from magnoliaroad.target_model.expected_end import Choice, choose_by_expected_end
from magnoliaroad.target_model.metrics import CHOICES
from magnoliaroad.target_model.model import TargetModel
from magnoliaroad.target_model.plain_choice import choose_by_free_slots

# With more hosts than this for each target of a plain service, a host keeps to one
# target: it has so few requests that connections to all would reach the idle timeout.
HOSTS_PER_TARGET = 2
# Most limited targets that are asked, one after the other, to take a request.
MAX_ASKED = 4
# Time after which a stated limit is asked for again by a request, in seconds.
REFRESH_S = 1.0
# Reason of a choice that the load decides.
BY_LOAD, BY_FREE_SLOTS = "load", "free slots"


class NoTarget(Exception):
    """No target takes the request now.

    Attributes:
        refusal: What to tell the caller if no target can have run the request.
    """

    def __init__(self, refusal: Refusal) -> None:
        super().__init__(refusal.code)
        self.refusal = refusal


class PlacementNeed(NamedTuple):
    """What a request needs of its target.

    Attributes:
        service: Service to which the request goes.
        route: Name of its route.
        version: Version of the target's software; ``None`` for any.
        streams: Whether the answer is a stream of an engine.
        request_id: Id of the request.
        program: Its program; empty for none.
        placed: Target that served the last turn of the program; empty if unknown.
        session: Key by which streams without a program are placed.
        data_centres: Data centres to which it may go; ``None`` for any.
        prompt_tokens: Tokens of its prompt; 0 if unknown.
        output_tokens: Most tokens of its output; 0 if unknown.
    """

    service: str
    route: str
    version: str | None
    streams: bool
    request_id: str
    program: str
    placed: str
    session: str
    data_centres: frozenset[str] | None = None
    prompt_tokens: int = 0
    output_tokens: int = 0


class Placement(NamedTuple):
    """A chosen target.

    Attributes:
        target: The target.
        candidates: Number of targets that were usable.
        choice: How it was chosen by its expected end; ``None`` if it was not.
    """

    target: RelayTarget
    candidates: int
    choice: Choice | None = None


class Decision(NamedTuple):
    """A target that is the best of those to choose from, before its limit is asked.

    Attributes:
        target: The target.
        reason: ``kept``, ``moved`` or ``new`` by the expected end, ``BY_FREE_SLOTS`` by
            what the targets state, or ``BY_LOAD`` by the counts of the hosts.
        choice: How it was chosen by its expected end; ``None`` if otherwise.
    """

    target: RelayTarget
    reason: str
    choice: Choice | None = None


class Preview(NamedTuple):
    """What would become of a request that is placed now.

    Attributes:
        decision: The choice; ``None`` if no target takes the request.
        usable: The usable targets.
        waits_s: Time until each target that would not take it now takes another one,
            in seconds, by name.
        wait_s: Time for which the request would wait for its target, in seconds.
        refusal: What its caller would be told; ``None`` if a target takes it.
    """

    decision: Decision | None
    usable: Sequence[RelayTarget] = ()
    waits_s: Mapping[str, float] = MappingProxyType({})
    wait_s: float = 0.0
    refusal: Refusal | None = None


class Placer:
    """Chooses a target for each request.

    Args:
        cfg: Settings of the host.
        table: The targets and their load.
        limiter: Keeps the limits that targets state.
        model: What is known of the speed and load of targets.
        program_targets: The target that serves each program.
        host_count: Returns the number of relay hosts.
    """

    def __init__(
        self,
        cfg: RelaySettings,
        table: TargetTable,
        limiter: TargetLimiter,
        model: TargetModel,
        program_targets: ProgramTargets,
        host_count: Callable[[], int],
    ) -> None:
        self.cfg = cfg
        self._table = table
        self._limiter = limiter
        self._model = model
        self._program_targets = program_targets
        self._host_count = host_count

    async def place(
        self, need: PlacementNeed, excluded: set[str], deadline: float
    ) -> Placement:
        """Chooses a target to which the request may be sent now.

        Waits for a short time if all targets have used up their limits.

        Args:
            need: What the request needs.
            excluded: Names of targets that were already tried.
            deadline: Monotonic time in seconds at which the request must end.

        Raises:
            NoTarget: No target takes the request soon enough.
        """
        usable = self._find_usable(need, excluded)
        waits_s: dict[str, float] = {}
        while left := self._not_refused(usable, waits_s):
            target, choice = self._choose(need, left)
            reserved = self._reserved_part(need, target, excluded)
            decision = await self._limiter.admit(target, reserved)
            if not decision.admitted:
                waits_s[target.name] = decision.wait_s
            elif self._table.accepts(target):
                return Placement(target, len(usable), choice)
            else:
                # It left or was evacuated while its home host was asked.
                usable = self._find_usable(need, excluded)
        target = await self._wait_for_limit(need, excluded, waits_s, deadline)
        return Placement(target, len(usable))

    def preview(self, need: PlacementNeed) -> Preview:
        """Returns what ``place`` would do now, by what this host knows.

        Nothing is counted, and no other host is asked: a limit that another host keeps
        counts as free unless that host has refused a request just now.
        """
        now, none_tried = time.monotonic(), set[str]()
        try:
            usable = self._find_usable(need, none_tried)
        except NoTarget as exc:
            return Preview(None, refusal=exc.refusal)
        waits_s: dict[str, float] = {}
        decisions: dict[str, Decision] = {}
        while left := self._not_refused(usable, waits_s):
            decision = self._decide(need, left)
            target = decision.target
            reserved = self._reserved_part(need, target, none_tried)
            limit = self._limiter.view(target, reserved, now)
            if limit is None or not limit.wait_s:
                return Preview(decision, usable, waits_s)
            waits_s[target.name], decisions[target.name] = limit.wait_s, decision
        soonest = min(waits_s, key=waits_s.__getitem__)
        wait_s = waits_s[soonest]
        if wait_s > self.cfg.quota.longest_wait_s:
            refusal = targets_limited(wait_s)
            return Preview(None, usable, waits_s, refusal=refusal)
        return Preview(decisions[soonest], usable, waits_s, wait_s)

    def choose_unlimited(self, need: PlacementNeed, excluded: set[str]) -> RelayTarget:
        """Chooses a target without any limit of requests a second.

        Raises:
            NoTarget: There is none.
        """
        now = time.monotonic()
        unlimited = [
            target
            for target in self._find_usable(need, excluded)
            if not self._limiter.is_limited(target, now)
        ]
        if not unlimited:
            raise NoTarget(TARGETS_FULL)
        return self._choose(need, unlimited)[0]

    async def _wait_for_limit(
        self,
        need: PlacementNeed,
        excluded: set[str],
        waits_s: dict[str, float],
        deadline: float,
    ) -> RelayTarget:
        """Waits for the target whose limit takes the request soonest."""
        left_s = deadline - time.monotonic()
        longest_s = max(0.0, min(self.cfg.quota.longest_wait_s, left_s))
        soonest = min(waits_s, key=waits_s.__getitem__)
        target = self._table.targets.get(soonest)
        if target is None:
            raise NoTarget(TARGETS_FULL)
        reserved = self._reserved_part(need, target, excluded)
        decision = await self._limiter.admit(target, reserved, longest_s)
        if not decision.admitted:
            raise NoTarget(targets_limited(decision.wait_s))
        await asyncio.sleep(decision.wait_s)
        # Its entry may have changed in other respects, as when a cold target is warm.
        if start_of(target) not in map(start_of, self._find_usable(need, excluded)):
            raise NoTarget(TARGETS_FULL)
        return target

    def _find_usable(
        self, need: PlacementNeed, excluded: set[str]
    ) -> list[RelayTarget]:
        usable = self._table.usable(
            need.service, time.monotonic(), excluded, need.version, need.data_centres
        )
        if not usable:
            if self._table.all_evacuated(need.service, need.data_centres):
                raise NoTarget(TARGETS_EVACUATED)
            if need.data_centres is not None and not excluded:
                raise NoTarget(NO_TARGET_IN_REGION)
            none_known = NO_TARGET if need.version is None else NO_TARGET_OF_VERSION
            raise NoTarget(TARGETS_FULL if excluded else none_known)
        return usable

    def _reserved_part(
        self, need: PlacementNeed, target: RelayTarget, excluded: set[str]
    ) -> float:
        if target.name == need.placed:
            return PROMPT_HELD
        return FURTHER_TRY if excluded else FIRST_TRY

    def _not_refused(
        self, usable: list[RelayTarget], waits_s: dict[str, float]
    ) -> list[RelayTarget]:
        """Returns the targets to choose from once some have refused the request."""
        enough_asked, now = len(waits_s) >= MAX_ASKED, time.monotonic()
        return [
            target
            for target in usable
            if target.name not in waits_s
            and not (enough_asked and self._limiter.is_limited(target, now))
        ]

    def _choose(
        self, need: PlacementNeed, left: list[RelayTarget]
    ) -> tuple[RelayTarget, Choice | None]:
        """Returns a target, and how it was chosen if by its expected end."""
        decision = self._decide(need, left)
        if decision.reason != BY_LOAD:
            CHOICES.inc({"reason": decision.reason})
        return decision.target, decision.choice

    def _decide(self, need: PlacementNeed, left: list[RelayTarget]) -> Decision:
        usable = self._without_limited(need, left)
        choice = self._choose_by_expected_end(need, usable)
        if choice is None:
            return self._decide_by_load(need, usable)
        return Decision(self._table.targets[choice.name], choice.reason, choice)

    def _decide_by_load(
        self, need: PlacementNeed, usable: list[RelayTarget]
    ) -> Decision:
        data_centre = self.cfg.data_centre
        if need.streams and need.program:
            target = choose_by_program(
                self._table, usable, need.program, need.placed, data_centre
            )
            return Decision(target, BY_LOAD)
        if need.streams:
            target = choose_by_session(self._table, usable, need.session, data_centre)
            return Decision(target, BY_LOAD)
        few_requests = self._host_count() > HOSTS_PER_TARGET * len(usable)
        affinity_host = self.cfg.name if few_requests else None
        now = time.monotonic()
        if self._model.is_active(need.service, now):
            candidates = self._model.plain_candidates(usable, data_centre, now)
            name = choose_by_free_slots(candidates, need.request_id, affinity_host)
            return Decision(self._table.targets[name], BY_FREE_SLOTS)
        target = choose_least_loaded(
            self._table, usable, data_centre, need.request_id, affinity_host
        )
        return Decision(target, BY_LOAD)

    def _choose_by_expected_end(
        self, need: PlacementNeed, usable: list[RelayTarget]
    ) -> Choice | None:
        """Returns where a turn ends first; ``None`` if that is not known."""
        now = time.monotonic()
        if not need.streams or not self._model.is_active(need.service, now):
            return None
        candidates = self._model.candidates(
            usable, need.route, self.cfg.data_centre, need.prompt_tokens, now
        )
        if not candidates:
            return None
        tokens = need.prompt_tokens + need.output_tokens
        return choose_by_expected_end(candidates, need.placed, need.request_id, tokens)

    def _without_limited(
        self, need: PlacementNeed, usable: list[RelayTarget]
    ) -> list[RelayTarget]:
        """Leaves out limited targets while others have spare slots.

        What limited targets take goes to the programs whose prompts they hold, and to
        requests that show whether they still have a limit.
        """
        stated = {
            target.name: limit
            for target in usable
            if (limit := self._table.limits.find(target)) and limit.rate is not None
        }
        if not stated:
            return usable
        holds_prompt = any(target.name == need.placed for target in usable)
        outdated = time.monotonic() - REFRESH_S
        to_ask = [
            target
            for target in usable
            if target.name in stated and stated[target.name].stated_at < outdated
        ]
        if to_ask and not holds_prompt:
            return to_ask
        if not any(
            self._table.load(target.name) < SPARE_SLOTS_FRACTION * target.slots
            for target in usable
            if target.name not in stated
        ):
            return usable
        return [t for t in usable if t.name not in stated or t.name == need.placed]

    def assign(self, need: PlacementNeed, target: RelayTarget) -> None:
        """Remembers the target that serves a program from now on."""
        if not need.streams or not need.program:
            return
        PROGRAM_TURNS.inc({"placement": _placement_of(need, target)})
        self._program_targets.assign(need.program, target.name)


def _placement_of(need: PlacementNeed, target: RelayTarget) -> str:
    if not need.placed:
        return "new"
    return "kept" if target.name == need.placed else "moved"
