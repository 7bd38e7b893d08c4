"""Messages by which hosts borrow tokens from each other."""

from typing import NamedTuple


class LoanRequest(NamedTuple):
    """Asks a lender for tokens of a team.

    Attributes:
        number: Number of the loan request, unique within ``incarnation``.
        incarnation: Prefix of the incarnation of the process that asks.
        team: Team whose tokens are requested.
        amount: Largest number of tokens to lend.
    """

    TAG = "TokenAsk"

    number: int
    incarnation: str
    team: str
    amount: float


class TokenLoan(NamedTuple):
    """Answers a loan request; the lender has already deducted the tokens.

    Attributes:
        number: Number of the loan request.
        amount: Tokens lent; 0 when none were available.
        left: Tokens that the lender has left.
        rivals: Other hosts that recently asked for more tokens than were available.
        settle_when_spent: Whether to notify the lender once all tokens are spent.
    """

    number: int
    amount: float
    left: float
    rivals: int = 0
    settle_when_spent: bool = False


class TokenReturn(NamedTuple):
    """Settles a loan before it expires.

    Attributes:
        number: Number of the loan request.
        incarnation: Prefix of the incarnation of the process that borrowed.
        team: Team whose tokens were borrowed.
        unspent: Tokens returned; the sender has already deducted them.
    """

    number: int
    incarnation: str
    team: str
    unspent: float
