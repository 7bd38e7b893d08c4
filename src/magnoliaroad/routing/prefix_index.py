"""Index of the prompt prefixes that targets probably have cached."""

import collections
from collections.abc import Iterable

from magnoliaroad.routing.prefix import BLOCK_TOKENS


class PrefixIndex:
    """Maps prefix digests to targets, from requests and cache events.

    Args:
        limit: Maximum number of prefixes; the least recently used are
            evicted first.
    """

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self._targets: collections.OrderedDict[int, dict[str, float]] = (
            collections.OrderedDict()
        )
        self._valid_since: dict[str, float] = {}

    def __len__(self) -> int:
        return len(self._targets)

    def cached_tokens(self, prefix: tuple[int, ...]) -> dict[str, int]:
        """Returns how many tokens of ``prefix`` each target probably has cached."""
        found: dict[str, int] = {}
        for count in range(len(prefix), 0, -1):
            holders = self._targets.get(prefix[count - 1])
            if holders is None:
                continue
            for target, last_seen in holders.items():
                valid = last_seen >= self._valid_since.get(target, 0.0)
                if valid and target not in found:
                    found[target] = count * BLOCK_TOKENS
        return found

    def add_prefix(self, target: str, prefix: tuple[int, ...], now: float) -> None:
        """Records that ``target`` was sent, or has computed, ``prefix``."""
        for digest in _sampled_digests(prefix):
            self._add(digest, target, now)

    def add_block(self, target: str, digest: int, now: float) -> None:
        """Records a block that ``target`` reported as stored."""
        self._add(digest, target, now)

    def remove_blocks(self, target: str, digests: Iterable[int]) -> None:
        """Removes blocks that ``target`` no longer has cached."""
        for digest in digests:
            holders = self._targets.get(digest)
            if holders is None:
                continue
            holders.pop(target, None)
            if not holders:
                del self._targets[digest]

    def invalidate_before(self, target: str, before: float) -> None:
        """Ignores entries of ``target`` last seen before ``before``, in seconds."""
        self._valid_since[target] = before

    def _add(self, digest: int, target: str, now: float) -> None:
        holders = self._targets.get(digest)
        if holders is None:
            self._targets[digest] = {target: now}
            if len(self._targets) > self.limit:
                self._targets.popitem(last=False)
        else:
            holders[target] = now
            self._targets.move_to_end(digest)


def _sampled_digests(prefix: tuple[int, ...]) -> list[int]:
    """Returns the digests after 1, 2, 4, 8, ... blocks, and the last one."""
    found = []
    count = 1
    while count < len(prefix):
        found.append(prefix[count - 1])
        count *= 2
    return [*found, *prefix[-1:]]
