"""Messages between hosts about orders to evacuate data centres."""

from typing import NamedTuple


class EvacuationNotice(NamedTuple):
    """All orders that the sender knows.

    Attributes:
        revision: Revision of the store that the orders stem from; -1 if the sender does
            not know any state of the store.
        data_centres: The data centres to evacuate.
    """

    revision: int
    data_centres: list[str]
