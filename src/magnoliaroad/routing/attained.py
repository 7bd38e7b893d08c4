"""Service that programs have had."""

import collections

PROGRAM_LIMIT = 5000


class AttainedService:
    """Tokens used by the programs that this host has lately seen."""

    def __init__(self, limit: int = PROGRAM_LIMIT) -> None:
        self.limit = limit
        self._tokens: collections.OrderedDict[str, float] = collections.OrderedDict()

    def add(self, program: str, tokens: float) -> None:
        """Adds ``tokens`` to what ``program`` has used."""
        if not program:
            return
        self._tokens[program] = self._tokens.pop(program, 0.0) + tokens
        if len(self._tokens) > self.limit:
            self._tokens.popitem(last=False)

    def tokens(self, program: str) -> float:
        """Returns the tokens that ``program`` is known to have used."""
        return self._tokens.get(program, 0.0)
