"""Messages between the holders of groups."""

from typing import NamedTuple

from magnoliaroad.groups.entry import GroupEntry


class CopyAppend(NamedTuple):
    """Asks a copy to store a record of the owner."""

    entry: GroupEntry


class CopyReply(NamedTuple):
    """Reply of a copy.

    Attributes:
        accepted: Whether the copy carried out the request.
        promised_fence: Lowest fencing token that the copy accepts.
    """

    accepted: bool
    promised_fence: int


class CopyDelete(NamedTuple):
    """Asks a copy to delete the records of a key."""

    TAG = "CopyForget"

    group: str
    kind: str
    key: str


class CopyFetch(NamedTuple):
    """Asks a holder to promise a new owner's fencing token and send its records.

    Attributes:
        group: Name of the group.
        fence: Fencing token of the new owner.
        page: Number of the page, starting at 0.
        page_bytes: Minimum size in bytes of each page but the last.
    """

    group: str
    fence: int
    page: int
    page_bytes: int


class CopyPage(NamedTuple):
    """A page of the records of a holder.

    Attributes:
        accepted: Whether the holder promised the fencing token.
        complete_fence: Fencing token under which its records are complete.
        entries: Records of this page.
        more: Whether another page follows.
    """

    accepted: bool
    complete_fence: int
    entries: tuple[GroupEntry, ...]
    more: bool


class CopyAdopt(NamedTuple):
    """Asks a copy to accept its records as the owner's if their digests match."""

    group: str
    fence: int
    digest: int


class CopyStage(NamedTuple):
    """Records that will replace those of a copy.

    Attributes:
        group: Name of the group.
        fence: Fencing token of the owner.
        entries: Some of the owner's records.
        first: Whether this starts the replacement; such a message carries no
            records.
        last: Whether the copy is to replace its records now.
    """

    group: str
    fence: int
    entries: tuple[GroupEntry, ...] = ()
    first: bool = False
    last: bool = False


class HostProbe(NamedTuple):
    """Asks a host for its incarnation, or to probe another host.

    Attributes:
        host: Name of the other host; empty to probe the receiver itself.
    """

    host: str = ""


class HostProbeReply(NamedTuple):
    """Reply to a probe.

    Attributes:
        incarnation: Incarnation of the probed host; empty if that was another
            host and it did not answer.
    """

    TAG = "HostAlive"

    incarnation: str


class TablesRequest(NamedTuple):
    """Asks a peer for the group tables that it has."""

    TAG = "TablesAsk"


class TablesReply(NamedTuple):
    """Group tables as ``(domain, revision, packed table)``."""

    TAG = "TablesOffer"

    tables: tuple[tuple[str, int, bytes], ...]
