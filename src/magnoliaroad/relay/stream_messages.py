"""Messages about the origins of streams."""

from typing import NamedTuple


class StreamsBegun(NamedTuple):
    """Tells a record host where streams have begun; it confirms them without a reply.

    Attributes:
        streams: Of each stream the request id of the attempt that its first event
            answers, the service whose target has begun it, and the version of the
            target's software.
    """

    streams: list[tuple[str, str, str]]


class StreamOriginRequest(NamedTuple):
    """Asks a record host where a stream has begun."""

    stream: str


class StreamOriginReply(NamedTuple):
    """The reply to ``StreamOriginRequest``; both fields are empty if it is unknown."""

    service: str
    version: str
