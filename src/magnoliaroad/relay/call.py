"""A caller's request, free of any wire format."""

from typing import NamedTuple

from multidict import CIMultiDict


class RelayCall(NamedTuple):
    """What a caller asks for.

    Attributes:
        request_id: Id of this attempt, chosen by the caller.
        method: HTTP method.
        host: Value of the ``Host`` header.
        path: Path and query as they came.
        headers: Headers that a target may receive.
        body: Whole body.
        key: Key of the caller; empty without one.
        time_left_s: How long the caller waits; ``None`` if it did not say.
        program: Program that the request belongs to; empty for none.
        session: Line of turns within the program.
        program_left_s: Time until the program should have ended.
        budget: Tokens that all turns of the program may generate.
        prompt_parts: Ids of the parts of the prompt, in order; the last one is the
            request's own.
        output_tokens: Most tokens that this request generates.
        previous_turn: Turn that this one continues; empty for none.
        resume_after: Id of the last event that the caller has.
    """

    request_id: str
    method: str
    host: str
    path: str
    headers: CIMultiDict[str]
    body: bytes
    key: str = ""
    time_left_s: float | None = None
    program: str = ""
    session: str = ""
    program_left_s: float | None = None
    budget: int | None = None
    prompt_parts: tuple[str, ...] = ()
    output_tokens: int = 0
    previous_turn: str = ""
    resume_after: int | None = None
