"""Messages about the limits of targets."""

from typing import NamedTuple

# Stands for no limit in messages, as a rate.
NO_LIMIT = -1.0


class TargetAdmissionRequest(NamedTuple):
    """Asks the home host of a limited target to admit a request.

    Attributes:
        target: Id of the target.
        started_ms: Its start, which tells it from others under the same id.
        rate: Limit that the target stated to the sender, in requests a second.
        age_s: Time since then, in seconds.
        reserved_part: Part of the target's bucket that the request leaves to others.
        longest_wait_s: Longest time that the request may wait, in seconds.
    """

    TAG = "TargetAdmitAsk"

    target: str
    started_ms: int
    rate: float
    age_s: float
    reserved_part: float
    longest_wait_s: float


class TargetAdmissionReply(NamedTuple):
    """The reply to ``TargetAdmissionRequest``.

    Attributes:
        known: Whether the home host knows the target, and the rate of a cold one; if
            not, nothing was counted.
        admitted: Whether the request may be sent, after ``wait_s``.
        wait_s: Seconds until a request like this one may be sent.
        rate: Newest limit in requests a second; ``NO_LIMIT`` for none.
        age_s: Time since the target stated it, in seconds.
    """

    TAG = "TargetAdmitAnswer"

    known: bool
    admitted: bool
    wait_s: float
    rate: float
    age_s: float


class TargetLimitNotice(NamedTuple):
    """Tells the home host of a target that its limit has changed or ended.

    Attributes:
        target: Id of the target.
        started_ms: Its start.
        rate: The limit in requests a second; ``NO_LIMIT`` for none.
        age_s: Time since the target stated it, in seconds.
    """

    TAG = "TargetLimitNotice"

    target: str
    started_ms: int
    rate: float
    age_s: float
