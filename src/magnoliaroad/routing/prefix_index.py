"""Which targets probably hold which prompt prefixes."""

import collections
from collections.abc import Iterable

from magnoliaroad.routing.prefix import BLOCK_TOKENS


class PrefixIndex:
    """Learns from requests sent, usage reported and cache events.

    Args:
        limit: Most prefixes that are remembered; the least recently used
            go first.
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
        """Returns the tokens of ``prefix`` that each target probably holds."""
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
        """Notes that ``target`` is computing ``prefix``."""
        for digest in _sampled_digests(prefix):
            self._add(digest, target, now)

    def stored(self, target: str, digest: int, now: float) -> None:
        """Notes a block that ``target`` says it stored."""
        self._add(digest, target, now)

    def remove_blocks(self, target: str, digests: Iterable[int]) -> None:
        """Forgets blocks that ``target`` does not hold any more."""
        for digest in digests:
            holders = self._targets.get(digest)
            if holders is None:
                continue
            holders.pop(target, None)
            if not holders:
                del self._targets[digest]

    def invalidate_before(self, target: str, before: float) -> None:
        """Forgets what was learnt of ``target`` before a time in seconds."""
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
    """Returns digests at 1, 2, 4 and so on blocks, and the last one."""
    found = []
    count = 1
    while count < len(prefix):
        found.append(prefix[count - 1])
        count *= 2
    return [*found, *prefix[-1:]]
