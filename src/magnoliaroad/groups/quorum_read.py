"""Decides when a new owner knows every record of its group."""

from collections.abc import Iterable

from magnoliaroad.groups.entry import GroupEntry
from magnoliaroad.groups.holding import Holding
from magnoliaroad.groups.member import Member
from magnoliaroad.groups.view import GroupView, read_quorum


class QuorumRead:
    """Collects the records of a group from the holders before ``view``.

    A record was acknowledged once two holders had it (or the only one), and
    each holder that is heard refuses the old owner from then on. So enough
    holders are heard when any two of them all include one of those heard.
    """

    def __init__(self, view: GroupView) -> None:
        self.view = view
        self._answered: set[Member] = set()
        self._lost: set[Member] = set()
        self._merged = Holding()

    @property
    def outstanding(self) -> list[Member]:
        """Holders that were neither heard nor given up."""
        resolved = self._answered | self._lost
        return [member for member in self.view.previous if member not in resolved]

    @property
    def complete(self) -> bool:
        """Whether no other holder can know of a record, or confirm one."""
        needed = read_quorum(len(self.view.previous))
        return len(self._answered) >= needed or not self.outstanding

    def add_reply(
        self, member: Member, complete_fence: int, entries: Iterable[GroupEntry]
    ) -> None:
        """Takes the records of a holder that promised the new fence."""
        for entry in entries:
            self._merged.put(entry)
        if complete_fence >= self.view.previous_fence:
            self._answered.add(member)

    def mark_lost(self, member: Member) -> None:
        """Takes note that ``member`` is gone for good with its records."""
        self._lost.add(member)

    def entries(self) -> list[GroupEntry]:
        """Returns the union; the higher fence wins a place."""
        return self._merged.entries()
