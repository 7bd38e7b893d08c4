"""Counts the tokens that an escrow host has granted of each program."""

from typing import NamedTuple

from magnoliaroad.relay.budget_parts import divide_budget
from magnoliaroad.relay.escrow_messages import EscrowRequest


class EscrowGrant(NamedTuple):
    """Tokens granted of one program.

    Attributes:
        total: All tokens granted so far.
        at: Time of the last grant in seconds.
    """

    total: int
    at: float


class EscrowLedger:
    """Grants tokens of programs from one data centre's part of their budgets.

    Args:
        data_centres: Number of data centres that have a part.
    """

    def __init__(self, data_centres: int) -> None:
        self._data_centres = data_centres
        self._grants: dict[str, EscrowGrant] = {}

    def __len__(self) -> int:
        return len(self._grants)

    def restore(self, now: float, program: str, total: int) -> None:
        """Sets the tokens of a program that an earlier run of the host granted."""
        self._grants[program] = EscrowGrant(total, now)

    def total(self, program: str) -> int:
        """Returns the tokens of a program granted so far."""
        grant = self._grants.get(program)
        return 0 if grant is None else grant.total

    def grant(self, now: float, req: EscrowRequest) -> int:
        """Returns the tokens granted for ``req``; 0 if the part is used up.

        At least half of the rest is granted, which spares most programs a second
        request and leaves some for a host that continues after the first is lost.
        """
        parts = divide_budget(req.limit, self._data_centres)
        total = self.total(req.program)
        free = max(0, parts.data_centre - total)
        tokens = min(free, max(req.needed, free // 2))
        if tokens:
            self._grants[req.program] = EscrowGrant(total + tokens, now)
        return tokens

    def remove_idle(self, now: float, idle_s: float) -> list[str]:
        """Removes the programs without a grant for ``idle_s``; returns their names."""
        idle = [p for p, grant in self._grants.items() if now - grant.at > idle_s]
        for program in idle:
            del self._grants[program]
        return idle
