"""Messages about crashes of targets."""

from typing import NamedTuple

from magnoliaroad.quarantine.entry import QuarantineEntry


class CrashReport(NamedTuple):
    """The requests that a host lost when a target crashed.

    Attributes:
        target: Name of the target.
        at: When the first of them was lost, in seconds since 1970.
        fingerprints: Their fingerprints, none of which has ended well on the
            host before.
        route: Route of the target.
        incarnation: Start of the target in milliseconds since 1970, which tells two
            crashes of one target apart; 0 if unknown.
    """

    target: str
    at: float
    fingerprints: tuple[str, ...]
    route: str = ""
    incarnation: int = 0


class SuspectCleared(NamedTuple):
    """Tells the detector that a request under suspicion has ended well."""

    fingerprint: str


class QuarantineAsk(NamedTuple):
    """Asks a peer for the decisions that it has in force."""


class QuarantineTold(NamedTuple):
    """The answer to ``QuarantineAsk``."""

    entries: tuple[QuarantineEntry, ...]


class QuarantineOffer(NamedTuple):
    """Decisions that the sender has in force."""

    entries: tuple[QuarantineEntry, ...]
