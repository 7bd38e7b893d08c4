"""Counts the tokens that an escrow host has granted of each program."""

from typing import NamedTuple

from magnoliaroad.relay.budget_parts import divide_budget
from magnoliaroad.relay.escrow_messages import EscrowRequest

# Most programs whose grants are remembered once they are idle.
MAX_PROGRAMS = 50_000


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
        """Removes programs without a grant for ``idle_s``, if there are too many.

        A program may go on elsewhere and return, so its grants are not forgotten before
        ``MAX_PROGRAMS`` others have come.

        Returns:
            The names of the programs that were removed, the longest idle first.
        """
        excess = max(0, len(self._grants) - MAX_PROGRAMS)
        idle = [p for p, grant in self._grants.items() if now - grant.at > idle_s]
        removed = sorted(idle, key=lambda p: self._grants[p].at)[:excess]
        for program in removed:
            del self._grants[program]
        return removed
