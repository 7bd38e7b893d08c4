"""Targets that have said in an answer that they leave."""

from collections.abc import Container, Iterable
from typing import NamedTuple

from magnoliaroad.relay.target import RelayTarget

# Time that a mark outlives the entry of its target, in seconds: well above the
# interval after which the platform removes the entry of a silent target, so that an
# entry which lapsed with the store and returns is still known to leave.
MARK_RETENTION_S = 120.0


class LeavingTarget(NamedTuple):
    """One incarnation of a target that leaves.

    Attributes:
        name: Id of the target.
        started_ms: Unix time of its incarnation in milliseconds; a later incarnation
            under the
            same id is another target. 0 if the target does not say.
    """

    name: str
    started_ms: int


class LeavingTargets:
    """The targets that get no further requests because they leave.

    A mark holds for one incarnation of a target, whatever the store says of its state.
    """

    def __init__(self) -> None:
        self._marked_at: dict[LeavingTarget, float] = {}

    def __contains__(self, target: RelayTarget) -> bool:
        return _incarnation_of(target) in self._marked_at

    def mark(self, target: RelayTarget, now: float) -> bool:
        """Marks a target; returns whether it was not marked before."""
        return self.mark_all([_incarnation_of(target)], now) > 0

    def mark_all(self, incarnations: Iterable[LeavingTarget], now: float) -> int:
        """Marks targets that a peer has named; returns how many are new."""
        before = len(self._marked_at)
        for incarnation in incarnations:
            self._marked_at.setdefault(LeavingTarget(*incarnation), now)
        return len(self._marked_at) - before

    def marked(self) -> list[LeavingTarget]:
        """Returns all marks, for peers."""
        return list(self._marked_at)

    def sweep(self, now: float, names: Container[str]) -> None:
        """Drops the marks of targets that are not among ``names`` any more."""
        for incarnation, at in list(self._marked_at.items()):
            if incarnation.name in names:
                self._marked_at[incarnation] = now
            elif now - at > MARK_RETENTION_S:
                del self._marked_at[incarnation]


def _incarnation_of(target: RelayTarget) -> LeavingTarget:
    return LeavingTarget(target.name, target.started_ms)
