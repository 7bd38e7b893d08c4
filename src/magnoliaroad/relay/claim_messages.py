"""What hosts tell each other to write claims of budgets together."""

import enum
from typing import NamedTuple


class ClaimAsk(NamedTuple):
    """Asks a host to write a claim with those of others.

    Attributes:
        program: The program.
        value: Its record with the claim.
        expected: Revision that the record in the store must have; 0 for none.
    """

    program: str
    value: bytes
    expected: int


class ClaimOutcome(enum.StrEnum):
    """What came of a ``ClaimAsk``."""

    WRITTEN = "written"
    CONFLICT = "conflict"
    FAILED = "failed"


class ClaimTold(NamedTuple):
    """The answer to ``ClaimAsk``.

    Attributes:
        outcome: A ``ClaimOutcome``.
        revision: Revision of the record in the store now; 0 for none, or if the
            write failed.
        value: After a conflict, the record that is there.
    """

    outcome: str
    revision: int = 0
    value: bytes = b""
