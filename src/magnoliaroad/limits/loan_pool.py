"""A pool of borrowed tokens of one team, each loan with an expiry time."""

from typing import NamedTuple


class BorrowedTokens(NamedTuple):
    """The unspent tokens of a loan.

    Attributes:
        lender: Host that lent the tokens.
        number: Number of the loan request.
        left: Tokens that are not spent yet.
        return_due_at: Time at which unspent tokens are returned to the lender.
        expires_at: Time from which the tokens must not be spent.
        settle_when_spent: Whether to notify the lender once all tokens are spent.
    """

    lender: str
    number: int
    left: float
    return_due_at: float
    expires_at: float
    settle_when_spent: bool


class LoanPool:
    """Loans of one team, ordered by expiry."""

    __slots__ = ("_loans",)

    def __init__(self) -> None:
        self._loans: list[BorrowedTokens] = []

    def __bool__(self) -> bool:
        return bool(self._loans)

    def add(self, loan: BorrowedTokens) -> None:
        """Adds a loan."""
        self._loans.append(loan)
        self._loans.sort(key=lambda loan: loan.expires_at)

    def tokens(self, now: float) -> float:
        """Drops expired loans and returns the tokens that may be spent at ``now``."""
        self._loans = [loan for loan in self._loans if loan.expires_at > now]
        return sum(loan.left for loan in self._loans)

    def spend(self, now: float, amount: float) -> list[BorrowedTokens]:
        """Spends ``amount`` tokens; returns the loans to settle with their lenders."""
        self.tokens(now)
        used = []
        while amount > 0 and self._loans:
            loan = self._loans.pop(0)
            if loan.left > amount:
                self._loans.insert(0, loan._replace(left=loan.left - amount))
                break
            amount -= loan.left
            if loan.settle_when_spent:
                used.append(loan._replace(left=0.0))
        return used

    def pop_due(self, now: float) -> list[BorrowedTokens]:
        """Removes the loans due for return; returns those that have not expired."""
        due = [loan for loan in self._loans if loan.return_due_at <= now]
        self._loans = [loan for loan in self._loans if loan.return_due_at > now]
        return [loan for loan in due if loan.expires_at > now]

    def next_return_at(self) -> float | None:
        """Returns the time at which the next loan is due for return."""
        return min((loan.return_due_at for loan in self._loans), default=None)
