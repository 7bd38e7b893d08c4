"""A turn that has begun and not ended."""

from typing import Any, NamedTuple


class OpenTurn(NamedTuple):
    """The owner's state of a turn in progress.

    Attributes:
        attempt: Unique id of this run of the turn.
        host: Entry host that runs it.
        messages: New messages.
        reserved: Tokens reserved.
        route: Route of the call.
        extra_bytes: Bytes of other prompt content, such as tool definitions.
        recorded_at_s: Monotonic time when this owner applied its event, in seconds.
    """

    attempt: str
    host: str
    messages: list[dict[str, Any]]
    reserved: int
    route: str
    extra_bytes: int
    recorded_at_s: float
