"""A call of a program, before it is admitted."""

from typing import Any, NamedTuple


class Call(NamedTuple):
    """One call as its caller sent it.

    Attributes:
        program: Full id of the program.
        team: Team of the caller.
        messages: Chat messages; the whole history or only the new ones.
        max_tokens: Largest number of answer tokens; 0 for the configured default.
        turn: Turn number from the caller; ``None`` if it gave none.
        parent: Parent program, whose budget is used; empty for none.
        route: Route of the call; it identifies the engine's tokenizer.
        new_only: Whether ``messages`` holds only new messages; if false, the
            messages are compared with the history to find out.
        extra_bytes: Bytes of other prompt content, such as tool definitions.
        single: Whether this is the only call of the program.
    """

    program: str
    team: str
    messages: list[dict[str, Any]]
    max_tokens: int = 0
    turn: int | None = None
    parent: str = ""
    route: str = ""
    new_only: bool = False
    extra_bytes: int = 0
    single: bool = False
