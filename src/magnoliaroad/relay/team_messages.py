"""What hosts ask the host that counts a team's requests."""

from typing import NamedTuple


class AdmitAsk(NamedTuple):
    """Asks whether a request of a team may pass.

    Attributes:
        team: The team.
        new_program: Whether the request starts a program.
    """

    team: str
    new_program: bool


class AdmitAnswer(NamedTuple):
    """The answer to ``AdmitAsk``.

    Attributes:
        known: Whether the answering host knows the team.
        wait_s: 0 if the request may pass, else seconds until one may.
        view: What decided, for the log; empty if the request may pass.
    """

    known: bool
    wait_s: float
    view: dict[str, float]


class AdmitUndo(NamedTuple):
    """Gives back the token of a request that was not sent."""

    team: str
