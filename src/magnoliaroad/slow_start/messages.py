"""Messages about requests to cold targets."""

from typing import NamedTuple


class ColdAdmissionRequest(NamedTuple):
    """Asks the home host of a cold target to admit a request.

    The reply is a ``TargetAdmissionReply``.

    Attributes:
        target: Id of the target.
        started_ms: Its start, which tells it from others under the same id.
        cold_s: Time for which it remains cold by its entry, in seconds.
        reserved_part: Part of the target's bucket that the request leaves to others.
        longest_wait_s: Longest time that the request may wait, in seconds.
    """

    target: str
    started_ms: int
    cold_s: float
    reserved_part: float
    longest_wait_s: float
