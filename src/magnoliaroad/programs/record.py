"""State of one program."""

from typing import Any


class ProgramRecord:
    """History, budget and turn count of a program.

    Args:
        team: Team that owns the program.
        budget: Tokens that the program may use.
    """

    def __init__(self, team: str, budget: int) -> None:
        self.team = team
        self.budget = budget
        self.used = 0
        self.reserved = 0
        self.turns = 0
        self.messages: list[dict[str, Any]] = []

    @property
    def left(self) -> int:
        """Tokens neither used nor reserved."""
        return self.budget - self.used - self.reserved
