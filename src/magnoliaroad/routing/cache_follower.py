"""Follows the cache events of an engine."""

from collections.abc import Iterable

from magnoliaroad.routing.prefix_index import PrefixIndex

# After more lost events than this, older knowledge is given up.
LOST_EVENT_LIMIT = 200
# What was learnt this shortly before a gap is still believed.
RETAINED_BEFORE_GAP_S = 5.0


class CacheFollower:
    """Brings late and gapped cache events of one target into an index.

    Args:
        target: Name of the target.
        index: Index to bring up to date.
    """

    def __init__(self, target: str, index: PrefixIndex) -> None:
        self.target = target
        self.index = index
        self.number = 0

    def take(self, events: Iterable[tuple[int, bool, int]], now: float) -> int:
        """Takes events in order; returns how many were lost before or between.

        Args:
            events: Number, whether stored, and digest of each event.
            now: Time in seconds.
        """
        lost = 0
        for number, stored, digest in events:
            lost += max(0, number - self.number - 1)
            self.number = number
            if stored:
                self.index.stored(self.target, digest, now)
            else:
                self.index.remove_blocks(self.target, (digest,))
        if lost > LOST_EVENT_LIMIT:
            self.index.invalidate_before(self.target, now - RETAINED_BEFORE_GAP_S)
        return lost

    def restart(self, now: float) -> None:
        """Starts over with a target whose numbers went back."""
        self.number = 0
        self.index.invalidate_before(self.target, now)
