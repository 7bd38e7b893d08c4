"""Messages between hosts and the home host that counts a team's requests."""

from typing import NamedTuple


class AdmissionRequest(NamedTuple):
    """Asks the home host of a team to admit a request.

    Attributes:
        team: The team.
        new_program: Whether the request starts a program.
    """

    TAG = "AdmitAsk"

    team: str
    new_program: bool


class AdmissionReply(NamedTuple):
    """The reply to ``AdmissionRequest``.

    Attributes:
        known: Whether the home host has the team in its configuration; if not, nothing
            was counted.
        wait_s: 0 if the request is admitted, else seconds until one may be.
        bucket_state: State of the team's bucket for the log; empty if the request is
            admitted.
    """

    TAG = "AdmitAnswer"

    known: bool
    wait_s: float
    bucket_state: dict[str, float]


class AdmissionRefund(NamedTuple):
    """Tells the home host to put back the token of a request that was not sent."""

    TAG = "AdmitUndo"

    team: str
