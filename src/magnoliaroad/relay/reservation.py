"""Tokens that are set aside for a turn."""

import abc


class Reservation(abc.ABC):
    """Tokens of a program that a running turn may hand out."""

    @abc.abstractmethod
    def settle(self, used: int) -> None:
        """Ends the turn, which has handed out ``used`` tokens."""
