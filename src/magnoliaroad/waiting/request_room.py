"""Decides for one request whether it waits for room, or is refused for lack of it."""

import random
import time

from magnoliaroad.refusal import Refusal, Refused
from magnoliaroad.relay.admission import AdmittedCall
from magnoliaroad.relay.parts import RelayParts
from magnoliaroad.relay.refusals import TARGETS_FULL, no_room_for_programs
from magnoliaroad.waiting.admission import RETURNED_PART, return_after_s
from magnoliaroad.waiting.metrics import PROGRAMS_REFUSED, PROGRAMS_TAKEN
from magnoliaroad.waiting.room import WaitingRequest
from magnoliaroad.waiting.standing import Standing, rank_of


class RequestRoom:
    """The room for one request at the targets of its service.

    Args:
        parts: Components of the host.
        admitted: The call with its route and team.
        service: Its service.
        began: Monotonic time at which its headers arrived, in seconds.

    Attributes:
        service: The service, which resuming a stream may change.
        starts_program: Whether the request may be the first turn of a program.
    """

    def __init__(
        self, parts: RelayParts, admitted: AdmittedCall, service: str, began: float
    ) -> None:
        self.starts_program = False
        self._parts = parts
        self._admitted = admitted
        self.service = service
        self._began = began
        self._waits_since: float | None = None

    @property
    def is_active(self) -> bool:
        """Whether requests to the service wait for room."""
        return self._parts.waiting.is_active(self.service)

    async def admit_program(self, data_centres: frozenset[str] | None) -> None:
        """Checks that the service has room for the program if it is a new one.

        Args:
            data_centres: Data centres to which the request may go; ``None`` for any.

        Raises:
            Refused: It has not.
        """
        if not self.starts_program or not self.is_active:
            return
        parts, route, now = self._parts, self._admitted.route, time.monotonic()
        admission = parts.program_admission
        usable = parts.table.usable(self.service, now, data_centres=data_centres)
        loads = parts.target_model.loads_of(usable, now)
        waiting = admission.record_waiting(self.service, loads, now)
        rank = rank_of(route, self._admitted.team)
        time_left_s = self._admitted.call.time_left_s
        used_part = admission.record_limit(route.name, time_left_s)
        if admission.admits(self.service, rank, waiting, used_part, now):
            has_returned = used_part >= RETURNED_PART
            PROGRAMS_TAKEN.inc({"kind": "returned" if has_returned else "new"})
            return
        if await self._has_begun_elsewhere():
            self.starts_program = False
            return
        PROGRAMS_REFUSED.inc({"rank": str(rank)})
        refusal = no_room_for_programs(return_after_s(random))
        raise Refused(refusal, waiting=round(waiting, 2), rank=rank)

    async def _has_begun_elsewhere(self) -> bool:
        """Returns whether the program had a turn that another host has placed."""
        program = self._admitted.call.program
        if await self._parts.program_targets.find(program):
            return True
        return await self._parts.budgets.has_program(program)

    def standing(self, deadline: float) -> Standing:
        """Returns the standing of the request among others.

        Args:
            deadline: Monotonic time at which its answer is due, in seconds.
        """
        call, now = self._admitted.call, time.monotonic()
        if call.program_left_s is None:
            slack_s = deadline - now
        else:
            slack_s = call.program_left_s - (now - self._began)
        return Standing(
            rank=rank_of(self._admitted.route, self._admitted.team),
            slack_s=slack_s,
            has_begun=not self.starts_program,
        )

    async def wait_behind_others(self, deadline: float) -> bool:
        """Waits if requests that go first wait for room already.

        Only before the first target is chosen.

        Returns:
            Whether the request goes on.
        """
        waiting, service = self._parts.waiting, self.service
        if self._waits_since is not None or not waiting.count(service):
            return True
        if not self.is_active or waiting.goes_first(service, self.standing(deadline)):
            return True
        return await self.wait(deadline)

    async def wait(self, deadline: float) -> bool:
        """Waits for a target with room; returns whether to look for one again."""
        if not self.is_active:
            return False
        has_tried = self._waits_since is not None
        if self._waits_since is None:
            self._waits_since = time.monotonic()
        call = self._admitted.call
        request = WaitingRequest(
            request_id=call.request_id,
            service=self.service,
            team=self._admitted.team_name,
            standing=self.standing(deadline),
            size=len(call.body),
            since=self._waits_since,
            deadline=deadline,
            has_tried=has_tried,
        )
        return await self._parts.waiting.wait(request)

    def refusal(self) -> Refusal:
        """Returns what to tell the caller if the request gets no room."""
        if not self.is_active:
            return TARGETS_FULL
        return TARGETS_FULL._replace(retry_after_s=return_after_s(random))
