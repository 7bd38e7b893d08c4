"""The share table of a data centre: which host holds which part of a team's rate."""

from typing import NamedTuple

import msgpack
import msgspec

from magnoliaroad.decoding import unpack
from magnoliaroad.rendezvous import rendezvous

HOLDERS_PER_TEAM = 2
MAX_EDITORS = 3
MAX_EARLIER_REVISIONS = 8


class Member(NamedTuple):
    """A host process that holds shares."""

    host: str
    incarnation: str


class TableRevision(NamedTuple):
    """The members of a data centre's table at one revision.

    Attributes:
        revision: Increases by one with each change.
        members: Processes that hold shares, the oldest first.
        parts: Fraction of each team's rate and burst that the members share.
        stopped: Whether the members removed by this revision had already stopped
            using their shares, and no member was added.
    """

    revision: int
    members: tuple[Member, ...]
    parts: float
    stopped: bool = False

    @property
    def editors(self) -> tuple[Member, ...]:
        """Members that may change the table."""
        return self.members[:MAX_EDITORS]

    def fractions(self, team: str) -> dict[str, float]:
        """Returns the fractions of ``team`` by name of the host that holds them."""
        ranked = rendezvous(team, [member.host for member in self.members])
        holders = ranked[:HOLDERS_PER_TEAM]
        return {host: self.parts / len(holders) for host in holders}

    def fraction(self, team: str, member: Member) -> float:
        """Returns the fraction of ``team`` that ``member`` holds."""
        if member not in self.members:
            return 0.0
        return self.fractions(team).get(member.host, 0.0)


class ShareTable(NamedTuple):
    """A data centre's entry in the store.

    Attributes:
        data_centre: Data centre whose hosts alone may change the entry.
        current: The revision in force.
        earlier: The previous revisions that are kept, the oldest first.
        split: Revision of the split between data centres that is in force here.
    """

    data_centre: str
    current: TableRevision
    earlier: tuple[TableRevision, ...] = ()
    split: int = 0

    @property
    def revision(self) -> int:
        """Number of the revision in force."""
        return self.current.revision

    def next_revision(
        self,
        members: tuple[Member, ...],
        parts: float | None = None,
        split: int | None = None,
        stopped: bool = False,
    ) -> "ShareTable":
        """Returns the table with a further revision added."""
        parts = self.current.parts if parts is None else parts
        following = TableRevision(self.revision + 1, members, parts, stopped)
        earlier = (*self.earlier, self.current)[-MAX_EARLIER_REVISIONS:]
        split = self.split if split is None else split
        return ShareTable(self.data_centre, following, earlier, split)

    def past_and_present_members(self) -> set[Member] | None:
        """Returns the members of all revisions.

        Returns ``None`` when the first revision is no longer kept or ``parts`` has
        changed.
        """
        revisions = [*self.earlier, self.current]
        if (
            revisions[0].revision != 1
            or len({revision.parts for revision in revisions}) > 1
        ):
            return None
        return {member for revision in revisions for member in revision.members}

    def revisions_since(self, revision: int) -> list[TableRevision] | None:
        """Returns the revisions after ``revision``; ``None`` if some are not kept."""
        revisions = [*self.earlier, self.current]
        if revisions[0].revision > revision + 1:
            return None
        return [later for later in revisions if later.revision > revision]


def pack_table(table: ShareTable) -> bytes:
    """Returns ``table`` as msgpack."""
    return msgpack.packb(msgspec.to_builtins(table))


def unpack_table(data: bytes) -> ShareTable:
    """Returns the table in ``data``; raises ``ValueError`` for other data."""
    return unpack(data, ShareTable)
