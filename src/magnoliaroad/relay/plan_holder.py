"""The configuration that is in force on this host."""

import time
from collections.abc import Callable

from loguru import logger

from magnoliaroad.relay.entry_decoder import BadEntry, EntryDecoder
from magnoliaroad.relay.mirror import MirrorListener
from magnoliaroad.relay.plan import RelayPlan, RelayService, RelayTeam
from magnoliaroad.store import StoreEntry, WatchBatch

# Origin of a configuration that this host has read from its mirror of the store.
STORE_ORIGIN = "store"


class PlanHolder(MirrorListener):
    """Holds the configuration in force and replaces it only by a newer one.

    Attributes:
        plan: The configuration in force; ``None`` before the first.
        source: Key and value of its store entry, to send to peers.
        origin: Whence this host has it: ``STORE_ORIGIN`` or a peer.
        taken_at: Monotonic time at which this host has taken it, in seconds.
        on_newer_plan: Called after a newer one was read from the store.
    """

    def __init__(self, decoder: EntryDecoder) -> None:
        self.plan: RelayPlan | None = None
        self.source: tuple[str, bytes] | None = None
        self.origin = ""
        self.taken_at = 0.0
        self.on_newer_plan: Callable[[], None] = lambda: None
        self._decoder = decoder

    @property
    def version(self) -> int:
        """Version in force; -1 before the first."""
        return -1 if self.plan is None else self.plan.version

    def find_team(self, name: str) -> RelayTeam | None:
        """Returns a team of the configuration in force; ``None`` if it is unknown."""
        return None if self.plan is None else self.plan.teams.get(name)

    def find_service(self, name: str) -> RelayService | None:
        """Returns a service of the configuration; ``None`` if it is unknown."""
        return None if self.plan is None else self.plan.services.get(name)

    def on_snapshot(
        self, entries: dict[str, StoreEntry], revision: int, after_loss: bool
    ) -> None:
        """Applies the newest configuration among the operator's entries."""
        for entry in entries.values():
            self.offer(entry.key, entry.value, STORE_ORIGIN)

    def on_batch(self, batch: WatchBatch) -> None:
        """Applies a configuration that the operator has changed."""
        for entry in batch.changed:
            self.offer(entry.key, entry.value, STORE_ORIGIN)

    def offer(self, key: str, value: bytes, origin: str) -> bool:
        """Applies the configuration in an entry if it is newer; returns whether."""
        try:
            plan = self._decoder.read_plan(key, value)
        except BadEntry as exc:
            logger.bind(key=key, reason=str(exc), kept=self.version).error(
                "configuration cannot be read"
            )
            return False
        if plan is None or plan.version <= self.version:
            return False
        logger.bind(
            version=plan.version,
            before=self.version,
            origin=origin,
            routes=sum(len(routes) for routes in plan.routes.values()),
            limits=_changed_limits(self.plan, plan),
        ).info("configuration in force")
        self.plan = plan
        self.source = (key, value)
        self.origin, self.taken_at = origin, time.monotonic()
        if origin == STORE_ORIGIN:
            self.on_newer_plan()
        return True


def _changed_limits(
    before: RelayPlan | None, plan: RelayPlan
) -> dict[str, tuple[float, float]]:
    """Returns the rate and burst of each team that is new or has changed."""
    known = {} if before is None else before.teams
    return {
        name: (team.rate, team.burst)
        for name, team in plan.teams.items()
        if known.get(name) != team
    }
