"""The group table of a data centre, stored as one value."""

from typing import Any, NamedTuple

import msgpack

from magnoliaroad.decoding import unpack
from magnoliaroad.groups.member import Member
from magnoliaroad.groups.view import GroupView

TABLES_PREFIX = "groups/"
# Domain of the groups that do not belong to a data centre.
FLEET = "*"


class GroupTable(NamedTuple):
    """Owners and copies of all groups of a domain.

    Attributes:
        domain: Data centre, or ``FLEET``.
        revision: Revision of the store entry; 0 if there is none.
        views: View of each group, by group number.
    """

    domain: str
    revision: int = 0
    views: tuple[GroupView, ...] = ()

    def with_view(self, number: int, view: GroupView) -> "GroupTable":
        """Returns a copy of the table with the view of one group replaced."""
        views = list(self.views)
        views[number] = view
        return self._replace(views=tuple(views))


def table_key(domain: str) -> str:
    """Returns the store key of the table of ``domain``."""
    return TABLES_PREFIX + domain


def group_name(domain: str, number: int) -> str:
    """Returns the name of a group."""
    return f"{domain}/{number}"


def split_group(group: str) -> tuple[str, int]:
    """Returns the domain and number of ``group``."""
    domain, _, number = group.rpartition("/")
    return domain, int(number)


def pack_table(table: GroupTable) -> bytes:
    """Returns ``table`` as msgpack; views refer to members by index."""
    index: dict[Member, int] = {}
    views = [
        (
            view.fence,
            [index.setdefault(member, len(index)) for member in view.holders],
            view.active,
            [index.setdefault(member, len(index)) for member in view.previous],
            view.previous_fence,
        )
        for view in table.views
    ]
    return msgpack.packb((list(index), views))


def unpack_table(domain: str, revision: int, data: bytes) -> GroupTable:
    """Returns the table in ``data``.

    Raises:
        ValueError: ``data`` is not a packed table.
    """
    try:
        members, views = unpack(data, tuple[list[Any], list[Any]])
        unpacked = [Member(*member) for member in members]
        return GroupTable(
            domain, revision, tuple(_unpack_view(unpacked, v) for v in views)
        )
    except (TypeError, IndexError) as exc:
        raise ValueError(f"invalid group table: {exc}") from exc


def _unpack_view(members: list[Member], fields: Any) -> GroupView:
    fence, holders, active, previous, previous_fence = fields
    return GroupView(
        fence,
        tuple(members[number] for number in holders),
        active,
        tuple(members[number] for number in previous),
        previous_fence,
    )
