"""The part of a program's budget that this host has claimed."""


class BudgetShare:
    """Counts the tokens of one program that this host hands out.

    Attributes:
        holder: Name of its claim in the program's record.
        claimed: Tokens claimed in the store.
        used: Tokens handed out.
        reserved: Most tokens that running turns may still hand out.
        touched: Time of the last use in seconds.
    """

    __slots__ = ("claimed", "holder", "reserved", "touched", "used")

    def __init__(self, holder: str, now: float) -> None:
        self.holder = holder
        self.claimed = 0
        self.used = 0
        self.reserved = 0
        self.touched = now

    @property
    def available(self) -> int:
        """Claimed tokens that no turn has or may use."""
        return self.claimed - self.used - self.reserved

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
