"""The budget of a program and its children."""


class Budget:
    """Tokens used and reserved by attempt.

    Args:
        limit: Tokens that may be used in all.
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
        """Tokens set aside for runs that have not ended."""
        return sum(self._reserved.values())

    def reserve(self, attempt: str, tokens: int) -> None:
        """Sets ``tokens`` aside for ``attempt``."""
        self._reserved[attempt] = tokens

    def settle(self, attempt: str, tokens: int) -> None:
        """Ends a reservation and charges ``tokens``."""
        self._reserved.pop(attempt, None)
        self.used += tokens
