"""One record of a group."""

from typing import NamedTuple


class GroupEntry(NamedTuple):
    """An immutable record, identified by (group, kind, key, sequence).

    Of two records with the same identity, the one with the higher fencing
    token wins.

    Attributes:
        group: Group that the record belongs to.
        kind: Component that wrote the record, such as ``programs``.
        key: Subject of the record, such as a program id.
        sequence: Number among the records of ``key``, starting at 1.
        fence: Fencing token of the owner that wrote the record.
        body: Packed content.
    """

    group: str
    kind: str
    key: str
    sequence: int
    fence: int
    body: bytes
