"""A caller's request, independent of the wire format."""

from typing import NamedTuple

from multidict import CIMultiDict


class RelayCall(NamedTuple):
    """A decoded request of a caller.

    Attributes:
        request_id: Id of this attempt, chosen by the caller.
        method: HTTP method.
        host: Value of the ``Host`` header.
        path: Path and query, unchanged.
        headers: Headers that may be forwarded to a target.
        body: The whole body.
        key: Key of the caller; empty without one.
        time_left_s: Time that the caller still waits; ``None`` if it is not stated.
        program: Program that the request belongs to; empty for none.
        session: Conversation within the program; empty for none.
        program_left_s: Time until the program's deadline; ``None`` if it is not stated.
        budget: Tokens that all turns of the program together may generate.
        prompt_parts: Ids of the parts of the prompt, in order; the last part belongs to
            this request only.
        part_tokens: Number of tokens of each of these parts.
        prompt_tokens: Tokens of the whole prompt; 0 if unknown.
        output_tokens: Most tokens that this request may generate.
        previous_turn: Turn that this one continues; empty for none.
        resume_after: Id of the last event that the caller has received; ``None`` if the
            request does not take up a stream again.
        resumed_stream: Id of the attempt that began the stream to resume; empty if it
            is not stated.
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
    part_tokens: tuple[int, ...] = ()
    prompt_tokens: int = 0
    output_tokens: int = 0
    previous_turn: str = ""
    resume_after: int | None = None
    resumed_stream: str = ""
