"""Messages between hosts about crashes of targets and quarantine decisions."""

from typing import NamedTuple

from magnoliaroad.quarantine.entry import QuarantineEntry


class CrashReport(NamedTuple):
    """Reports the requests that a host lost when a target crashed.

    Attributes:
        target: Name of the target.
        first_lost_at: Time at which the first of them was lost, in seconds since 1970.
        fingerprints: Fingerprints of the requests, without those that completed on the
            host recently.
        route: Route of the target.
        incarnation: Start time of the target in milliseconds since 1970, which
            distinguishes two crashes of one target; 0 if unknown.
    """

    target: str
    first_lost_at: float
    fingerprints: tuple[str, ...]
    route: str = ""
    incarnation: int = 0


class LostRequest(NamedTuple):
    """A request that was lost in a crash.

    Attributes:
        fingerprint: Its fingerprint.
        sent_s: Time since it was sent to the target, in seconds.
        answered_s: Time since an equal one was answered on the host, in seconds;
            ``None`` if none was recently.
    """

    fingerprint: str
    sent_s: float
    answered_s: float | None


class CrashDetails(NamedTuple):
    """Adds to a ``CrashReport``, which older builds send and take alone.

    Attributes:
        target: Name of the target.
        incarnation: As in the report.
        route: Route of the target.
        lost_s: Time since the first request was lost, in seconds.
        requests: All requests that the host lost, also those answered recently.
    """

    target: str
    incarnation: int
    route: str
    lost_s: float
    requests: tuple[LostRequest, ...]


class SuspectAnswered(NamedTuple):
    """Tells the detectors when a host last answered a request that became a suspect.

    Attributes:
        fingerprint: Its fingerprint.
        answered_s: Time since then, in seconds.
    """

    fingerprint: str
    answered_s: float


class SuspectCleared(NamedTuple):
    """Notifies the detectors that a suspect request completed without a crash."""

    fingerprint: str


class BlocklistRequest(NamedTuple):
    """Requests the decisions that a peer has in force."""

    TAG = "QuarantineAsk"


class BlocklistReply(NamedTuple):
    """The answer to ``BlocklistRequest``."""

    TAG = "QuarantineTold"

    entries: tuple[QuarantineEntry, ...]


class BlocklistUpdate(NamedTuple):
    """Sends decisions that are new to the sender to a peer."""

    TAG = "QuarantineOffer"

    entries: tuple[QuarantineEntry, ...]
