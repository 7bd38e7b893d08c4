"""The split of each team's rate between data centres."""

from collections.abc import Iterable, Mapping
from typing import NamedTuple

import msgpack

from magnoliaroad.decoding import unpack
from magnoliaroad.limits.table import ShareTable

SPLIT_KEY = "limits/split"


class Split(NamedTuple):
    """One revision of the fractions that data centres hold.

    Attributes:
        revision: Increases by one with each change.
        parts: Fraction of each team's rate and burst by data centre.
    """

    revision: int
    parts: dict[str, float]


def even_split(split: Split | None, data_centres: Iterable[str]) -> Split | None:
    """Returns the next split, with equal parts for ``data_centres``.

    Returns ``None`` if ``split`` already has a part for each of them and no other.
    """
    names = sorted(data_centres)
    if split is not None and sorted(split.parts) == names:
        return None
    revision = 1 if split is None else split.revision + 1
    return Split(revision, {name: 1.0 / len(names) for name in names})


def adopt_split(
    table: ShareTable, split: Split, tables: Mapping[str, ShareTable]
) -> ShareTable | None:
    """Returns ``table`` with its part of ``split``, or ``None`` if unchanged.

    A smaller part is adopted at once. A larger part is adopted once the tables of
    all other data centres are at the same split, because none of them then holds
    more than its part. Until then only the split's revision is adopted.
    """
    parts = split.parts.get(table.data_centre, 0.0)
    if table.split >= split.revision and table.current.parts == parts:
        return None
    others = [t for name, t in tables.items() if name != table.data_centre]
    all_adopted = all(
        t.split == split.revision for t in others if _holds_part(t, split)
    )
    all_known = set(split.parts) <= {*tables, table.data_centre}
    if parts > table.current.parts and not (all_adopted and all_known):
        if table.split >= split.revision:
            return None
        parts = table.current.parts
    return table.next_revision(table.current.members, parts, split.revision)


def _holds_part(table: ShareTable, split: Split) -> bool:
    return table.data_centre in split.parts or table.current.parts > 0


def pack_split(split: Split) -> bytes:
    """Returns ``split`` as msgpack."""
    return msgpack.packb(split)


def unpack_split(data: bytes) -> Split:
    """Returns the split in ``data``; raises ``ValueError`` for other data."""
    return unpack(data, Split)
