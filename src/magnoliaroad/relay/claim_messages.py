"""Messages between a host that claims a budget and the host that writes the claim."""

import enum
from typing import NamedTuple


class ClaimWriteRequest(NamedTuple):
    """Asks a host to write a claim in one call with those of other hosts.

    Attributes:
        program: The program.
        value: The program's packed budget record with the claim.
        expected: Revision that the record in the store must have; 0 if there must be
            none.
    """

    TAG = "ClaimAsk"

    program: str
    value: bytes
    expected: int


class ClaimOutcome(enum.StrEnum):
    """The outcome of a ``ClaimWriteRequest``.

    ``FAILED`` leaves open whether the claim was written.
    """

    WRITTEN = "written"
    CONFLICT = "conflict"
    FAILED = "failed"


class ClaimWriteReply(NamedTuple):
    """The reply to ``ClaimWriteRequest``.

    Attributes:
        outcome: A ``ClaimOutcome``.
        revision: Revision of the record that is now in the store; 0 if there is none
            or the write failed.
        value: After a conflict, the packed record that is in the store.
    """

    TAG = "ClaimTold"

    outcome: str
    revision: int = 0
    value: bytes = b""
