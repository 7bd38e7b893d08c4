"""Computes the next revision of a data centre's share table."""

from collections.abc import Mapping

from magnoliaroad.limits.liveness import Liveness
from magnoliaroad.limits.split import Split, adopt_split
from magnoliaroad.limits.table import ShareTable


def next_table(
    tables: Mapping[str, ShareTable],
    data_centre: str,
    liveness: Liveness,
    split: Split | None,
    now: float,
) -> ShareTable | None:
    """Returns the next revision of the table, or ``None`` when none is needed.

    Members that stopped using their shares are removed in a separate revision:
    the others may use the freed shares at once, without waiting for old tables
    to expire.
    """
    own = tables.get(data_centre)
    if own is None:
        return None
    members = own.current.members
    remaining = liveness.remaining(members)
    if remaining and remaining != members:
        return own.next_revision(remaining, stopped=True)
    next_members = liveness.next_members(members, now)
    if next_members and next_members != members:
        return own.next_revision(next_members)
    return adopt_split(own, split, tables) if split else None
