"""Queue that orders the waiting calls of one program."""

import itertools


class CallQueue:
    """Waiting calls of one program, in order of arrival.

    A call that names a later turn than the expected one does not block the calls
    behind it.
    """

    def __init__(self) -> None:
        self._numbers = itertools.count(1)
        self._waiting: dict[int, int | None] = {}

    def join(self, turn: int | None) -> int:
        """Adds a call, which may name its ``turn``, and returns its place."""
        place = next(self._numbers)
        self._waiting[place] = turn
        return place

    def leave(self, place: int) -> None:
        """Removes a call from the queue."""
        self._waiting.pop(place, None)

    def is_next(self, place: int, expected: int) -> bool:
        """Whether the call is the first that may begin as turn ``expected``."""
        ready = [
            number
            for number, turn in self._waiting.items()
            if turn is None or turn <= expected
        ]
        return bool(ready) and ready[0] == place

    def __len__(self) -> int:
        return len(self._waiting)
