"""Messages by which hosts compare and exchange share tables."""

from typing import NamedTuple

from magnoliaroad.limits.table import ShareTable


class ShareTableRequest(NamedTuple):
    """Asks a host whether the sender's tables are the newest.

    Attributes:
        number: Matches the reply to the request.
        incarnation: Incarnation of the process that asks.
        revisions: Known revision of each data centre's table.
        stopped: Whether the sender has permanently stopped using its shares.
    """

    TAG = "ShareAsk"

    number: int
    incarnation: str
    revisions: dict[str, int]
    stopped: bool = False


class ShareTableReply(NamedTuple):
    """Replies to a request for share tables.

    Attributes:
        number: Number of the request.
        incarnation: Incarnation of the process that answers.
        revision: Known revision of the sender's own table; 0 when none is known.
        age_s: Seconds since the store confirmed that table; ``None`` if it never
            did.
        attested: Whether the sender may change the table and has not done so.
        newer: Tables that are newer than those in the request.
    """

    TAG = "ShareAnswer"

    number: int
    incarnation: str
    revision: int
    age_s: float | None
    attested: bool
    newer: tuple[ShareTable, ...] = ()


class ShareTableUpdate(NamedTuple):
    """Sends a table that is newer than the receiver's."""

    TAG = "ShareNews"

    table: ShareTable
