"""Interface of a reservation of budget tokens."""

import abc


class Reservation(abc.ABC):
    """Tokens of a program's budget that are reserved for a running turn."""

    @abc.abstractmethod
    def settle(self, used: int) -> None:
        """Charges ``used`` tokens and releases the rest of the reservation."""
