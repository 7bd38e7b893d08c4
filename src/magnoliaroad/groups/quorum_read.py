"""Collects the records of a group from a read quorum of its previous holders."""

from collections.abc import Iterable

from magnoliaroad.groups.entry import GroupEntry
from magnoliaroad.groups.group_records import GroupRecords
from magnoliaroad.groups.member import Member
from magnoliaroad.groups.view import GroupView, read_quorum


class QuorumRead:
    """Collects the records of a group from its holders before ``view``.

    A record was acknowledged once two holders had it (or the only holder), and
    a holder that replies refuses the old owner from then on. The replies are
    enough once every two of the holders include one that replied: a record
    that is missing from all replies was never acknowledged and cannot be now.
    """

    def __init__(self, view: GroupView) -> None:
        self.view = view
        self._answered: set[Member] = set()
        self._lost: set[Member] = set()
        self._merged = GroupRecords()

    @property
    def outstanding(self) -> list[Member]:
        """Holders that have neither replied nor been marked as lost."""
        resolved = self._answered | self._lost
        return [member for member in self.view.previous if member not in resolved]

    @property
    def complete(self) -> bool:
        """Whether no other holder can have or confirm further records."""
        needed = read_quorum(len(self.view.previous))
        return len(self._answered) >= needed or not self.outstanding

    def add_reply(
        self, member: Member, complete_fence: int, entries: Iterable[GroupEntry]
    ) -> None:
        """Merges the records of a holder that promised the new fencing token."""
        for entry in entries:
            self._merged.put(entry)
        if complete_fence >= self.view.previous_fence:
            self._answered.add(member)

    def mark_lost(self, member: Member) -> None:
        """Records that ``member`` is permanently lost with its records."""
        self._lost.add(member)

    def entries(self) -> list[GroupEntry]:
        """Returns the union; of two records at one position the higher fence wins."""
        return self._merged.entries()
