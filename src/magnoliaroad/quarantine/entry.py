"""What was decided about a request that may crash targets."""

import enum
from typing import NamedTuple


class QuarantineState(enum.StrEnum):
    """How requests with a fingerprint are treated.

    ``ALONE`` lets a host send one such request at a time, so that a further
    crash tells the cause from the others that were lost with it.
    """

    BLOCKED = "blocked"
    ALONE = "alone"
    CLEARED = "cleared"


class QuarantineEntry(NamedTuple):
    """A decision on a fingerprint; of two, the later one counts.

    Attributes:
        fingerprint: Fingerprint of the requests.
        state: How they are treated.
        decided_at: When it was decided, in seconds since 1970.
        until: When it ends, in seconds since 1970.
        route: Route on which the crashes were seen.
    """

    fingerprint: str
    state: QuarantineState
    decided_at: float
    until: float
    route: str = ""


def cleared(fingerprint: str, now: float, block_s: float) -> QuarantineEntry:
    """Returns the entry that ends the one on ``fingerprint``."""
    return QuarantineEntry(fingerprint, QuarantineState.CLEARED, now, now + block_s)
