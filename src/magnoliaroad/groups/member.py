"""Identity of a group holder: a host and its incarnation."""

from typing import NamedTuple

from magnoliaroad.membership import HostRecord

INCARNATION_CHARS = 12


class Member(NamedTuple):
    """One incarnation of a host, from a start to the next.

    Attributes:
        host: Name of the host.
        incarnation: Id that changes with each start of the host.
    """

    host: str
    incarnation: str


def member_of(record: HostRecord) -> Member:
    """Returns the member that ``record`` describes."""
    return Member(record.host, record.incarnation[:INCARNATION_CHARS])
