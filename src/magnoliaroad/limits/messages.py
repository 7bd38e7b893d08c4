"""Messages that lend tokens from host to host."""

from typing import NamedTuple


class TokenAsk(NamedTuple):
    """Asks for tokens of a team.

    Attributes:
        number: Unique among the asks of ``incarnation``.
        incarnation: Process that asks, shortened.
        team: Team whose tokens are wanted.
        amount: Most tokens that are of use.
    """

    number: int
    incarnation: str
    team: str
    amount: float


class TokenLoan(NamedTuple):
    """Answers an ask; the lender has already taken the tokens off its own.

    Attributes:
        number: Number of the ask.
        amount: Tokens lent; 0 when there were none.
        left: Tokens that the lender has left.
        rivals: Other hosts that lately asked for more than there was.
        settle_when_spent: Whether the lender wants to hear at once when all are spent.
    """

    number: int
    amount: float
    left: float
    rivals: int = 0
    settle_when_spent: bool = False


class TokenReturn(NamedTuple):
    """Settles a loan before its time is over.

    Attributes:
        number: Number of the ask.
        incarnation: Process that asked, shortened.
        team: Team whose tokens these are.
        unspent: Tokens given back; the sender has already taken them off.
    """

    number: int
    incarnation: str
    team: str
    unspent: float
