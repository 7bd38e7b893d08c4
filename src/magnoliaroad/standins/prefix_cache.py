"""Prompt cache of a stand-in engine, bounded in size."""

import collections
from collections.abc import Callable

from magnoliaroad.routing.prefix import BLOCK_TOKENS


class PrefixCache:
    """Cache of prompt blocks, with least-recently-used eviction.

    Of blocks used at the same time, those at the ends of prompts are evicted first.
    A block that several programs use belongs to none of them.

    Args:
        on_change: Called with the digest of each block that is stored (true) or evicted
            (false).
    """

    def __init__(self, on_change: Callable[[int, bool], None]) -> None:
        self._on_change = on_change
        self._owner: collections.OrderedDict[int, str] = collections.OrderedDict()
        self._blocks: collections.Counter[str] = collections.Counter()

    def __len__(self) -> int:
        return len(self._owner)

    def match(self, prefix: tuple[int, ...]) -> int:
        """Returns how many tokens of ``prefix`` are cached; marks them as used."""
        count = 0
        for digest in prefix:
            if digest not in self._owner:
                break
            count += 1
        self._mark_used(prefix[:count])
        return count * BLOCK_TOKENS

    def store(self, prefix: tuple[int, ...], program: str) -> None:
        """Stores the blocks of ``prefix`` for ``program``."""
        for digest in prefix:
            owner = self._owner.get(digest)
            if owner is None:
                self._owner[digest] = program
                self._blocks[program] += 1
                self._on_change(digest, True)
            elif owner != program and owner:
                self._mark_shared(digest, owner)
        self._mark_used(prefix)

    def shrink(self, blocks: int) -> None:
        """Evicts blocks until at most ``blocks`` are left."""
        while len(self._owner) > max(0, blocks):
            digest, owner = self._owner.popitem(last=False)
            self._decrement_count(owner)
            self._on_change(digest, False)

    def release(self, program: str) -> int:
        """Evicts the blocks that only ``program`` uses; returns their number."""
        if program not in self._blocks:
            return 0
        held = [digest for digest, owner in self._owner.items() if owner == program]
        for digest in held:
            del self._owner[digest]
            self._on_change(digest, False)
        del self._blocks[program]
        return len(held)

    def programs(self) -> dict[str, int]:
        """Returns the number of blocks that only one program uses, by program."""
        return {name: count for name, count in self._blocks.items() if name}

    def _mark_used(self, prefix: tuple[int, ...]) -> None:
        for digest in reversed(prefix):
            self._owner.move_to_end(digest)

    def _mark_shared(self, digest: int, owner: str) -> None:
        self._decrement_count(owner)
        self._owner[digest] = ""
        self._blocks[""] += 1

    def _decrement_count(self, owner: str) -> None:
        self._blocks[owner] -= 1
        if self._blocks[owner] <= 0:
            del self._blocks[owner]
