"""Messages between the holders of groups."""

from typing import NamedTuple

from magnoliaroad.groups.entry import GroupEntry


class CopyAppend(NamedTuple):
    """The owner asks a copy to keep a record."""

    entry: GroupEntry


class CopyReply(NamedTuple):
    """Whether a copy did what it was asked.

    Attributes:
        accepted: Whether it did.
        promised: Lowest fencing number that it accepts.
    """

    accepted: bool
    promised_fence: int


class CopyDelete(NamedTuple):
    """The owner no longer needs the records of a key."""

    TAG = "CopyForget"

    group: str
    kind: str
    key: str


class CopyFetch(NamedTuple):
    """A new owner asks a holder to promise its fence and for records.

    Attributes:
        group: Name of the group.
        fence: Fencing number of the new owner.
        page: Number of the page, from 0.
        page_bytes: Least size of a page that is not the last.
    """

    group: str
    fence: int
    page: int
    page_bytes: int


class CopyPage(NamedTuple):
    """Records of a holder.

    Attributes:
        accepted: Whether the holder promised the fence.
        held: Fencing number under which its records are complete.
        entries: Records of this page.
        more: Whether another page follows.
    """

    accepted: bool
    complete_fence: int
    entries: tuple[GroupEntry, ...]
    more: bool


class CopyAdopt(NamedTuple):
    """The owner asks a copy whether it has the same records already."""

    group: str
    fence: int
    digest: int


class CopyStage(NamedTuple):
    """Records that will replace those of a copy.

    Attributes:
        group: Name of the group.
        fence: Fencing number of the owner.
        entries: Some of the owner's records.
        first: Whether this starts the replacement; carries no records.
        last: Whether the copy is to replace its records now.
    """

    group: str
    fence: int
    entries: tuple[GroupEntry, ...] = ()
    first: bool = False
    last: bool = False


class HostProbe(NamedTuple):
    """Asks a host whether it is there, or whether another is.

    Attributes:
        about: Name of the other host; empty for the one that is asked.
    """

    host: str = ""


class HostProbeReply(NamedTuple):
    """Answer to a probe.

    Attributes:
        incarnation: Run of the host; empty when the other is silent.
    """

    TAG = "HostAlive"

    incarnation: str


class TablesRequest(NamedTuple):
    """Asks a peer for the tables of groups that it knows."""

    TAG = "TablesAsk"


class TablesReply(NamedTuple):
    """Tables as ``(domain, revision, packed table)``."""

    TAG = "TablesOffer"

    tables: tuple[tuple[str, int, bytes], ...]
