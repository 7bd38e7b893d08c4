"""Targets that have announced in an answer that they are about to stop."""

from collections.abc import Container, Iterable
from typing import NamedTuple

from magnoliaroad.relay.target import RelayTarget

# Time that a mark is kept after its target's entry is gone, in seconds. Well above the
# time after which the platform removes a silent target's entry, so that an entry that
# expired while the store was unavailable is still marked when it returns.
MARK_RETENTION_S = 120.0


class LeavingTarget(NamedTuple):
    """One incarnation of a target that is about to stop.

    Attributes:
        name: Id of the target.
        started_ms: Unix time of its start in milliseconds; a later start under the same
            id is another incarnation. 0 if it is unknown.
    """

    name: str
    started_ms: int


class LeavingTargets:
    """The targets that get no further requests because they are about to stop.

    A mark applies to one incarnation of a target, whatever its state in the store.
    """

    def __init__(self) -> None:
        self._marked_at: dict[LeavingTarget, float] = {}

    def __contains__(self, target: RelayTarget) -> bool:
        return _incarnation_of(target) in self._marked_at

    def mark(self, target: RelayTarget, now: float) -> bool:
        """Marks a target; returns whether it was not marked before."""
        return self.mark_all([_incarnation_of(target)], now) > 0

    def mark_all(self, incarnations: Iterable[LeavingTarget], now: float) -> int:
        """Adds the marks of a peer; returns how many are new."""
        before = len(self._marked_at)
        for incarnation in incarnations:
            self._marked_at.setdefault(LeavingTarget(*incarnation), now)
        return len(self._marked_at) - before

    def marked(self) -> list[LeavingTarget]:
        """Returns all marked targets, to be sent to peers."""
        return list(self._marked_at)

    def sweep(self, now: float, names: Container[str]) -> None:
        """Drops the marks of targets that left ``names`` ``MARK_RETENTION_S`` ago."""
        for incarnation, at in list(self._marked_at.items()):
            if incarnation.name in names:
                self._marked_at[incarnation] = now
            elif now - at > MARK_RETENTION_S:
                del self._marked_at[incarnation]


def _incarnation_of(target: RelayTarget) -> LeavingTarget:
    return LeavingTarget(target.name, target.started_ms)
