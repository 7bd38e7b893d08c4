"""Token budget shared by a program and its children."""


class Budget:
    """Counts used tokens and the tokens reserved for each attempt.

    Args:
        limit: Total tokens that may be used.
    """

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self.used = 0
        self._reserved: dict[str, int] = {}

    @property
    def remaining(self) -> int:
        """Tokens neither used nor reserved."""
        return self.limit - self.used - self.reserved

    @property
    def reserved(self) -> int:
        """Tokens reserved for attempts that have not ended."""
        return sum(self._reserved.values())

    def reserve(self, attempt: str, tokens: int) -> None:
        """Reserves ``tokens`` for ``attempt``."""
        self._reserved[attempt] = tokens

    def settle(self, attempt: str, tokens: int) -> None:
        """Ends the reservation and charges ``tokens``; a negative number refunds."""
        self._reserved.pop(attempt, None)
        self.used += tokens
