"""Finds out by new connections whether this host reaches the targets."""

import asyncio
import random
import time
from collections.abc import Iterator
from contextlib import contextmanager

from loguru import logger
from mode import Service

from magnoliaroad.background import background_task
from magnoliaroad.event_wait import wait_for_event
from magnoliaroad.relay.metrics import CUT_SERVICES
from magnoliaroad.relay.target import RelayTarget, TargetState
from magnoliaroad.relay.target_paths import MIN_UNREACHABLE, TargetPaths
from magnoliaroad.relay.target_table import TargetTable
from magnoliaroad.targets import TargetClient

# Time between probes of a service that the host is cut off from, in seconds.
PROBE_INTERVAL_S = 0.25
# Targets that are probed at the same time; their failures alone show a cut.
PROBED_TARGETS = MIN_UNREACHABLE
# Time without an answer from any target while requests wait after which the targets
# are probed, in seconds.
SILENCE_S = 0.5


class PathProber(Service):
    """Collects the outcomes of connections to targets, and probes them in doubt.

    No probe is made while connections succeed and answers arrive.

    Args:
        table: The known targets.
        paths: Decides from the outcomes.
        client: Makes the connections.
    """

    def __init__(
        self, table: TargetTable, paths: TargetPaths, client: TargetClient
    ) -> None:
        super().__init__()
        self.paths = paths
        self._table = table
        self._client = client
        self._requested = asyncio.Event()
        self._suspected: set[str] = set()
        # Requests without an answer yet, by service.
        self._waiting: dict[str, int] = {}
        self._heard_at = time.monotonic()

    @contextmanager
    def awaited_answer(self, service: str) -> Iterator[None]:
        """Counts a request that waits for the head of its answer."""
        if not self._waiting:
            self._heard_at = time.monotonic()
        self._waiting[service] = self._waiting.get(service, 0) + 1
        try:
            yield
            self._heard_at = time.monotonic()
        finally:
            self._waiting[service] -= 1
            if not self._waiting[service]:
                del self._waiting[service]

    def suspect(self, service: str) -> None:
        """Requests a probe of a service's targets."""
        self._suspected.add(service)
        self._requested.set()

    def record_connected(self, service: str) -> None:
        """Records a new connection to a target of a service."""
        now = self._heard_at = time.monotonic()
        cut_s = self.paths.record_connected(service, now)
        if cut_s is not None:
            CUT_SERVICES.set({}, len(self.paths.cut))
            logger.bind(service=service, cut_s=round(cut_s, 3)).warning(
                "path to targets regained"
            )

    def record_unreachable(self, target: RelayTarget) -> None:
        """Records a connection to a target that could not be made."""
        service = target.service
        known = len(self._find_targets(service))
        now = time.monotonic()
        if not self.paths.record_unreachable(service, target.name, now, known):
            if not self.paths.is_cut(service):
                self.suspect(service)
            return
        unreachable = self.paths.unreachable(service)
        # The targets have not failed; peers must not avoid them.
        self._table.end_cooldowns(unreachable)
        CUT_SERVICES.set({}, len(self.paths.cut))
        logger.bind(service=service, unreachable=unreachable, known=known).warning(
            "path to targets lost"
        )

    @background_task
    async def _probe_in_doubt(self) -> None:
        while not self.should_stop:
            await wait_for_event(self._requested, PROBE_INTERVAL_S)
            self._suspect_silent(time.monotonic())
            while services := self._suspected | set(self.paths.cut):
                self._suspected.clear()
                await asyncio.gather(*map(self._probe_service, sorted(services)))
                await asyncio.sleep(PROBE_INTERVAL_S)
            self._requested.clear()

    def _suspect_silent(self, now: float) -> None:
        if self._waiting and now - self._heard_at > SILENCE_S:
            self._suspected |= self._waiting.keys()
            self._heard_at = now

    async def _probe_service(self, service: str) -> None:
        targets = [
            target
            for target in self._find_targets(service)
            if target.state is TargetState.READY
        ]
        if not targets:
            # There is nothing to be cut off from.
            self.record_connected(service)
            return
        chosen = random.sample(targets, min(PROBED_TARGETS, len(targets)))
        connected = await asyncio.gather(
            *(self._can_connect(target) for target in chosen)
        )
        logger.bind(
            service=service,
            targets=[target.name for target in chosen],
            connected=connected,
        ).info("targets probed")
        if any(connected):
            self.record_connected(service)
            return
        for target in chosen:
            self.record_unreachable(target)

    def _find_targets(self, service: str) -> list[RelayTarget]:
        """Returns the targets of a service, except those that are evacuated."""
        evacuated = self._table.evacuations.names
        return [
            target
            for target in self._table.targets.values()
            if target.service == service and target.data_centre not in evacuated
        ]

    async def _can_connect(self, target: RelayTarget) -> bool:
        try:
            return await self._client.can_connect(target.address)
        except Exception as exc:
            # The probes of other targets must go on.
            logger.bind(target=target.name, reason=repr(exc)).error("target not probed")
            return False
