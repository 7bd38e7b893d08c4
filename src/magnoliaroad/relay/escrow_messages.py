"""Messages between a host that needs tokens and the escrow hosts."""

from typing import NamedTuple


class EscrowRequest(NamedTuple):
    """Asks an escrow host for tokens of its data centre's part of a budget.

    Attributes:
        program: The program.
        limit: The program's budget as stated by the caller.
        needed: Least number of tokens that help the asking host.
    """

    program: str
    limit: int
    needed: int


class EscrowReply(NamedTuple):
    """The reply to ``EscrowRequest``.

    Attributes:
        serves: Whether the host grants tokens at all.
        granted: Tokens granted; they stay granted if the reply is lost.
    """

    serves: bool
    granted: int
