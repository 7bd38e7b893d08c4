"""Messages that distribute the configuration between hosts."""

from typing import NamedTuple


class ConfigNotice(NamedTuple):
    """Announces that the sender has ``revision``."""

    revision: int


class ConfigRequest(NamedTuple):
    """Requests the head if it is newer than ``revision``."""

    TAG = "ConfigAsk"

    revision: int


class ConfigAnswer(NamedTuple):
    """The sender's revision, with its head if that is newer than requested.

    Attributes:
        revision: Newest revision of which the sender has all parts.
        head: The packed head; empty when it is not newer.
        parts: Parts that were written after the revision in the request.
    """

    revision: int
    head: bytes = b""
    parts: tuple[bytes, ...] = ()


class PartsRequest(NamedTuple):
    """Requests parts by their digests."""

    TAG = "PartsAsk"

    digests: tuple[bytes, ...]


class PartsResponse(NamedTuple):
    """Requested parts that the sender has, up to the size limit of one response."""

    TAG = "PartsAnswer"

    parts: tuple[bytes, ...]


class ConfigOffer(NamedTuple):
    """Pushes an accepted head, with parts that the receiver may lack."""

    head: bytes
    parts: tuple[bytes, ...] = ()
