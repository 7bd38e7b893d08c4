"""Applies the cache events of an engine to the prefix index."""

from collections.abc import Iterable

from magnoliaroad.routing.prefix_index import PrefixIndex

# After more lost events than this, older index entries are invalidated.
LOST_EVENT_LIMIT = 200
# Entries last seen this shortly before a gap stay valid.
RETAINED_BEFORE_GAP_S = 5.0


class CacheEventApplier:
    """Applies the cache events of one target, which may be late or have gaps.

    Args:
        target: Name of the target.
        index: Index to update.
    """

    def __init__(self, target: str, index: PrefixIndex) -> None:
        self.target = target
        self.index = index
        self.last_number = 0

    def apply(self, events: Iterable[tuple[int, bool, int]], now: float) -> int:
        """Applies events in order and returns how many were lost before or between.

        Args:
            events: Sequence number, whether stored (else evicted), and digest of
                each event.
            now: Time in seconds.
        """
        lost = 0
        for number, stored, digest in events:
            lost += max(0, number - self.last_number - 1)
            self.last_number = number
            if stored:
                self.index.add_block(self.target, digest, now)
            else:
                self.index.remove_blocks(self.target, (digest,))
        if lost > LOST_EVENT_LIMIT:
            self.index.invalidate_before(self.target, now - RETAINED_BEFORE_GAP_S)
        return lost

    def restart(self, now: float) -> None:
        """Resets the state for a target whose event numbers went backwards.

        The target has restarted, so its cache is empty.
        """
        self.last_number = 0
        self.index.invalidate_before(self.target, now)
