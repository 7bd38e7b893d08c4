"""Divides a program's token budget between the store and the data centres."""

from typing import NamedTuple


class BudgetParts(NamedTuple):
    """The parts of one program's budget.

    Attributes:
        store: Tokens that hosts claim in the store.
        data_centre: Tokens that the escrow host of each data centre may grant.
    """

    store: int
    data_centre: int


def divide_budget(limit: int, data_centres: int) -> BudgetParts:
    """Returns the parts of a budget, which together are the budget.

    For the load pattern of programs that start while the store or a data centre cannot
    be reached: the data centres can then start them from their own parts. The store has
    two thirds, so that programs can end if the grants of a data centre are lost.

    Args:
        limit: The program's budget as stated by the caller.
        data_centres: Number of data centres with a part; 0 leaves all to the store.
    """
    if not data_centres:
        return BudgetParts(limit, 0)
    part = limit // (3 * data_centres)
    return BudgetParts(limit - data_centres * part, part)
