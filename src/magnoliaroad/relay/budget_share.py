"""The part of a program's budget that this host may spend."""


class BudgetShare:
    """Counts the tokens of one program that this host may spend and has spent.

    Lent tokens are not returned.

    Args:
        now: Time in seconds.
        spent: Tokens of this incarnation's claims that an earlier share has spent.

    Attributes:
        claimed: Tokens that this incarnation of the host has claimed in the store.
        lent: Tokens of this share that were lent to other hosts.
        borrowed: Tokens that other hosts claimed and lent to this one.
        used: Tokens spent by turns that have ended.
        reserved: Tokens reserved by running turns.
        touched: Time of the last reservation or settlement in seconds.
    """

    __slots__ = ("borrowed", "claimed", "lent", "reserved", "touched", "used")

    def __init__(self, now: float, spent: int = 0) -> None:
        self.claimed = spent
        self.lent = 0
        self.borrowed = 0
        self.used = spent
        self.reserved = 0
        self.touched = now

    @property
    def available(self) -> int:
        """Tokens that are neither spent, reserved nor lent."""
        return self.claimed + self.borrowed - self.lent - self.used - self.reserved

    @property
    def spent_claim(self) -> int:
        """Tokens of this host's own claims that are spent or lent."""
        return max(0, self.used + self.lent - self.borrowed)

    def reserve(self, now: float, tokens: int) -> bool:
        """Reserves ``tokens`` for a turn; returns whether they were available."""
        self.touched = now
        if self.available < tokens:
            return False
        self.reserved += tokens
        return True

    def settle(self, now: float, reserved: int, used: int) -> None:
        """Ends a turn that had reserved ``reserved`` tokens and spent ``used``."""
        self.touched = now
        self.reserved -= reserved
        self.used += used

    def lend(self) -> int:
        """Lends all available tokens to another host; returns how many."""
        tokens = max(0, self.available)
        self.lent += tokens
        return tokens
