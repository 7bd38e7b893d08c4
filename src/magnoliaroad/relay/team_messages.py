"""Messages between hosts and the home host that counts a team's requests."""

from typing import NamedTuple


class AdmitAsk(NamedTuple):
    """Asks the home host of a team to admit a request.

    Attributes:
        team: The team.
        new_program: Whether the request starts a program.
    """

    team: str
    new_program: bool


class AdmitAnswer(NamedTuple):
    """The reply to ``AdmitAsk``.

    Attributes:
        known: Whether the home host has the team in its configuration; if not, nothing
            was counted.
        wait_s: 0 if the request is admitted, else seconds until one may be.
        view: State of the team's bucket for the log; empty if the request is admitted.
    """

    known: bool
    wait_s: float
    view: dict[str, float]


class AdmitUndo(NamedTuple):
    """Tells the home host to put back the token of a request that was not sent."""

    team: str
