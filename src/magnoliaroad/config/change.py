"""One entry of the configuration history."""

from typing import NamedTuple

MAX_CHANGES = 32
MAX_CHANGED_ITEMS = 40


class Change(NamedTuple):
    """An accepted change: who made it, when, and what changed.

    Attributes:
        revision: Revision that the change created.
        operation: Unique id of the operator's command.
        author: Who ran the command.
        at: Time by the operator's clock, in seconds since 1970.
        summary: What changed, in one line.
        changed_items: Kind and name of each changed item, such as ``team arcades``;
            empty when there are more than ``MAX_CHANGED_ITEMS``.
    """

    revision: int
    operation: str
    author: str = ""
    at: float = 0.0
    summary: str = ""
    changed_items: tuple[str, ...] = ()
