"""Quarantine decisions on requests that may crash targets."""

import enum
from typing import NamedTuple


class QuarantineState(enum.StrEnum):
    """How requests with a fingerprint are treated.

    ``BLOCKED`` refuses them. ``ALONE`` lets a host send one suspect request at a time,
    so that another crash separates the cause from the requests that were lost with
    it. ``CLEARED`` lifts an earlier decision.
    """

    BLOCKED = "blocked"
    ALONE = "alone"
    CLEARED = "cleared"


class QuarantineEntry(NamedTuple):
    """A decision on a fingerprint; ``Blocklist`` defines which of two wins.

    Attributes:
        fingerprint: Fingerprint of the requests.
        state: How these requests are treated.
        decided_at: Time of the decision, in seconds since 1970.
        until: Time at which the decision expires, in seconds since 1970.
        route: Route on which the crashes occurred; empty if not recorded.
    """

    fingerprint: str
    state: QuarantineState
    decided_at: float
    until: float
    route: str = ""


def cleared(fingerprint: str, now: float, block_s: float) -> QuarantineEntry:
    """Returns the entry that lifts the decision on ``fingerprint``."""
    return QuarantineEntry(fingerprint, QuarantineState.CLEARED, now, now + block_s)
