"""The next change of a share table."""

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
    """Returns the table that should follow, or ``None`` when all is well.

    Members that have stopped by themselves leave in a change of their own, which
    needs no wait before others use their shares.
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
