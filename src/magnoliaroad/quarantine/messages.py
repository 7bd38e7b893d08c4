"""Messages about crashes of targets."""

from typing import NamedTuple

from magnoliaroad.quarantine.entry import QuarantineEntry


class CrashReport(NamedTuple):
    """The requests that a host lost when a target crashed.

    Attributes:
        target: Name of the target.
        first_lost_at: When the first of them was lost, in seconds since 1970.
        fingerprints: Their fingerprints, none of which has ended well on the
            host before.
        route: Route of the target.
        incarnation: Start of the target in milliseconds since 1970, which tells two
            crashes of one target apart; 0 if unknown.
    """

    target: str
    first_lost_at: float
    fingerprints: tuple[str, ...]
    route: str = ""
    incarnation: int = 0


class SuspectCleared(NamedTuple):
    """Tells the detector that a request under suspicion has ended well."""

    fingerprint: str


class BlocklistRequest(NamedTuple):
    """Asks a peer for the decisions that it has in force."""

    TAG = "QuarantineAsk"


class BlocklistReply(NamedTuple):
    """The answer to ``BlocklistRequest``."""

    TAG = "QuarantineTold"

    entries: tuple[QuarantineEntry, ...]


class BlocklistUpdate(NamedTuple):
    """Decisions that the sender has in force."""

    TAG = "QuarantineOffer"

    entries: tuple[QuarantineEntry, ...]
