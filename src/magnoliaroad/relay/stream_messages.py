"""Messages about the origins of streams."""

from typing import NamedTuple


class StreamBegun(NamedTuple):
    """Tells a record host where a stream has begun.

    Attributes:
        stream: Request id of the attempt that its first event answers.
        service: Service whose target has begun it.
        version: Version of the target's software.
    """

    stream: str
    service: str
    version: str


class StreamOriginRequest(NamedTuple):
    """Asks a record host where a stream has begun."""

    stream: str


class StreamOriginReply(NamedTuple):
    """The reply to ``StreamOriginRequest``; both fields are empty if it is unknown."""

    service: str
    version: str
