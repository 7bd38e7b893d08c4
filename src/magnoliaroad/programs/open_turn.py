"""A turn that has begun and not ended."""

from typing import Any, NamedTuple


class OpenTurn(NamedTuple):
    """What the owner knows of a turn in progress.

    Attributes:
        attempt: Id of the run.
        host: Entry host that runs it.
        messages: New messages.
        reserved: Tokens reserved.
        route: Route of the call.
        extra_bytes: Size of what else is in the prompt.
        recorded_at_s: Time when the owner learned of it, in seconds.
    """

    attempt: str
    host: str
    messages: list[dict[str, Any]]
    reserved: int
    route: str
    extra_bytes: int
    recorded_at_s: float
