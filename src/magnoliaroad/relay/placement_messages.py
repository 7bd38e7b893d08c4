"""Messages about the targets that serve programs."""

from typing import NamedTuple


class ProgramTargetRequest(NamedTuple):
    """Asks a program's home host which target serves the program."""

    program: str


class ProgramTargetReply(NamedTuple):
    """The reply to ``ProgramTargetRequest``; ``target`` is empty if it is unknown."""

    target: str


class ProgramTargetReport(NamedTuple):
    """Tells a program's home host which target serves the program from now on."""

    program: str
    target: str
