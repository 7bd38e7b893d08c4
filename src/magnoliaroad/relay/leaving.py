"""Targets that have announced in an answer that they are about to stop."""

from collections.abc import Container, Iterable

from magnoliaroad.relay.target import RelayTarget, TargetStart, start_of

# Time that a mark is kept after its target's entry is gone, in seconds. Well above the
# time after which the platform removes a silent target's entry, so that an entry that
# expired while the store was unavailable is still marked when it returns.
MARK_RETENTION_S = 120.0


class LeavingTargets:
    """The targets that get no further requests because they are about to stop.

    A mark applies to one incarnation of a target, whatever its state in the store.
    """

    def __init__(self) -> None:
        self._marked_at: dict[TargetStart, float] = {}

    def __contains__(self, target: RelayTarget) -> bool:
        # Each request asks for each target, and mostly none is marked.
        return bool(self._marked_at) and start_of(target) in self._marked_at

    def mark(self, target: RelayTarget, now: float) -> bool:
        """Marks a target; returns whether it was not marked before."""
        return self.mark_all([start_of(target)], now) > 0

    def mark_all(self, incarnations: Iterable[TargetStart], now: float) -> int:
        """Adds the marks of a peer; returns how many are new."""
        before = len(self._marked_at)
        for incarnation in incarnations:
            self._marked_at.setdefault(TargetStart(*incarnation), now)
        return len(self._marked_at) - before

    def marked(self) -> list[TargetStart]:
        """Returns all marked targets, to be sent to peers."""
        return list(self._marked_at)

    def sweep(self, now: float, names: Container[str]) -> None:
        """Drops the marks of targets that left ``names`` ``MARK_RETENTION_S`` ago."""
        for incarnation, at in list(self._marked_at.items()):
            if incarnation.name in names:
                self._marked_at[incarnation] = now
            elif now - at > MARK_RETENTION_S:
                del self._marked_at[incarnation]
