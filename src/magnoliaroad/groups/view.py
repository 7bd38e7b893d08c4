"""The owner and copies of a group."""

from typing import NamedTuple

from magnoliaroad.groups.member import Member


class GroupView(NamedTuple):
    """Owner and copies of a group under one fencing token.

    Attributes:
        fence: Fencing token; increases with each view of the group.
        holders: The owner, then the hosts with copies.
        active: Whether the owner has the records and may act.
        previous: Holders of the last active view; empty once this view is
            active.
        previous_fence: Fencing token of the last active view; 0 for none.
    """

    fence: int
    holders: tuple[Member, ...]
    active: bool = False
    previous: tuple[Member, ...] = ()
    previous_fence: int = 0

    @property
    def owner(self) -> Member:
        """The holder that may act once the view is active."""
        return self.holders[0]

    @property
    def copies(self) -> tuple[Member, ...]:
        """The other holders."""
        return self.holders[1:]

    @property
    def record_holders(self) -> tuple[Member, ...]:
        """The holders of the last active view, which have the records."""
        return self.holders if self.active else self.previous

    def succeeded_by(self, holders: tuple[Member, ...]) -> "GroupView":
        """Returns the next view, not yet active, with other ``holders``."""
        fence = self.fence if self.active else self.previous_fence
        return GroupView(self.fence + 1, holders, False, self.record_holders, fence)

    def activated(self, holders: tuple[Member, ...]) -> "GroupView":
        """Returns this view, active, with the ``holders`` that have the records."""
        return GroupView(self.fence, holders, True)


def write_quorum(holders: int) -> int:
    """Returns how many of ``holders`` hosts must store a record, owner included."""
    return min(2, holders)


def read_quorum(holders: int) -> int:
    """Returns how many of ``holders`` hosts include a holder of every record."""
    return holders - write_quorum(holders) + 1 if holders else 0
