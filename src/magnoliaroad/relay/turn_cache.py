"""Turns that were read or written lately."""

from collections import OrderedDict

from magnoliaroad.relay.turn import Turn


class TurnCache:
    """Holds turns up to a total size; the least recently used go first.

    Args:
        limit_bytes: Most bytes of text that are held.
    """

    def __init__(self, limit_bytes: int) -> None:
        self.limit_bytes = limit_bytes
        self.held_bytes = 0
        self._turns: OrderedDict[str, Turn] = OrderedDict()

    def get(self, turn_id: str) -> Turn | None:
        """Returns the turn, if it is held."""
        turn = self._turns.get(turn_id)
        if turn is not None:
            self._turns.move_to_end(turn_id)
        return turn

    def add(self, turn: Turn) -> None:
        """Holds ``turn``."""
        before = self._turns.pop(turn.turn_id, None)
        if before is not None:
            self.held_bytes -= len(before.text)
        self._turns[turn.turn_id] = turn
        self.held_bytes += len(turn.text)
        while self.held_bytes > self.limit_bytes and len(self._turns) > 1:
            _, old = self._turns.popitem(last=False)
            self.held_bytes -= len(old.text)
