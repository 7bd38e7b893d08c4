"""Attained service of programs."""

import collections

PROGRAM_LIMIT = 5000


class AttainedService:
    """Weighted tokens used by the programs that this host has served recently.

    Args:
        limit: Maximum number of programs; the least recently served are dropped.
    """

    def __init__(self, limit: int = PROGRAM_LIMIT) -> None:
        self.limit = limit
        self._tokens: collections.OrderedDict[str, float] = collections.OrderedDict()

    def add(self, program: str, tokens: float) -> None:
        """Adds ``tokens`` to the usage of ``program``."""
        if not program:
            return
        self._tokens[program] = self._tokens.pop(program, 0.0) + tokens
        if len(self._tokens) > self.limit:
            self._tokens.popitem(last=False)

    def tokens(self, program: str) -> float:
        """Returns the recorded usage of ``program``, or 0.0 without a record."""
        return self._tokens.get(program, 0.0)
