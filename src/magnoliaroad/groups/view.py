"""Who holds a group."""

from typing import NamedTuple

from magnoliaroad.groups.member import Member


class GroupView(NamedTuple):
    """Owner and copies of a group under one fencing number.

    Attributes:
        fence: Rises with each view of the group.
        holders: The owner, then the hosts with copies.
        active: Whether the owner has the records and may act.
        previous: Holders under the last active view, until this one is.
        previous_fence: Fencing number of the last active view; 0 for none.
    """

    fence: int
    holders: tuple[Member, ...]
    active: bool = False
    previous: tuple[Member, ...] = ()
    previous_fence: int = 0

    @property
    def owner(self) -> Member:
        """The host that may act."""
        return self.holders[0]

    @property
    def copies(self) -> tuple[Member, ...]:
        """The other holders."""
        return self.holders[1:]

    def succeeded_by(self, holders: tuple[Member, ...]) -> "GroupView":
        """Returns the next view, not yet active, with other ``holders``."""
        previous, fence = self.previous, self.previous_fence
        if self.active:
            previous, fence = self.holders, self.fence
        return GroupView(self.fence + 1, holders, False, previous, fence)

    def activated(self, holders: tuple[Member, ...]) -> "GroupView":
        """Returns this view, active, with the ``holders`` that have the records."""
        return GroupView(self.fence, holders, True)


def write_quorum(holders: int) -> int:
    """Returns how many of ``holders`` hosts must have a record, owner included."""
    return min(2, holders)


def read_quorum(holders: int) -> int:
    """Returns how many of ``holders`` hosts surely know each record among them."""
    return holders - write_quorum(holders) + 1 if holders else 0
