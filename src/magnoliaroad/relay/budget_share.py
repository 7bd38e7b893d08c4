"""The part of a program's budget that this host may hand out."""


class BudgetShare:
    """Counts the tokens of one program that this host hands out.

    Attributes:
        claimed: Tokens claimed in the store under this host's name.
        lent: Claimed tokens that another host hands out.
        borrowed: Tokens that another host claimed and lent to this one.
        used: Tokens handed out.
        reserved: Most tokens that running turns may still hand out.
        touched: Time of the last use in seconds.
    """

    __slots__ = ("borrowed", "claimed", "lent", "reserved", "touched", "used")

    def __init__(self, now: float) -> None:
        self.claimed = 0
        self.lent = 0
        self.borrowed = 0
        self.used = 0
        self.reserved = 0
        self.touched = now

    @property
    def available(self) -> int:
        """Tokens that no turn has or may use."""
        return self.claimed + self.borrowed - self.lent - self.used - self.reserved

    def reserve(self, now: float, tokens: int) -> bool:
        """Sets ``tokens`` aside for a turn if they are available."""
        self.touched = now
        if self.available < tokens:
            return False
        self.reserved += tokens
        return True

    def settle(self, now: float, reserved: int, used: int) -> None:
        """Ends a turn that had ``reserved`` tokens and handed out ``used``."""
        self.touched = now
        self.reserved -= reserved
        self.used += used

    def lend(self) -> int:
        """Gives all available tokens away; returns how many."""
        tokens = max(0, self.available)
        self.lent += tokens
        return tokens
