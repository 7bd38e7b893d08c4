"""A turn that was admitted."""

from typing import Any, NamedTuple


class Turn(NamedTuple):
    """An admitted call.

    A turn of a program must be passed to ``ProgramService.finish``, unless it has
    an ``answer``.

    Attributes:
        program: Full id of the program.
        number: Number of the turn, from 1.
        messages: Whole history with the new messages.
        max_tokens: Largest number of answer tokens, limited by the budget.
        reserved: Tokens reserved in the budget.
        attempt: Unique id of this run of the turn; empty if no owner records it.
        answer: Kept answer if the call repeats a turn, which must not run again.
    """

    program: str
    number: int
    messages: list[dict[str, Any]]
    max_tokens: int
    reserved: int
    attempt: str = ""
    answer: dict[str, Any] | None = None
