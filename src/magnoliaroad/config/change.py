"""One accepted change, as the history keeps it."""

from typing import NamedTuple

MAX_CHANGES = 32
MAX_CHANGED_ITEMS = 40


class Change(NamedTuple):
    """Who changed the configuration, when and what.

    Attributes:
        revision: Revision that the change made.
        operation: Unique id of the operator's command.
        author: Who ran the command.
        at: Time by the operator's clock, in seconds since 1970.
        summary: What changed, in one line.
        touched: Names of the items that changed, such as ``team arcades``;
            empty when there were more than ``MAX_CHANGED_ITEMS``.
    """

    revision: int
    operation: str
    author: str = ""
    at: float = 0.0
    summary: str = ""
    touched: tuple[str, ...] = ()
