"""Messages that distribute the configuration between hosts."""

from typing import NamedTuple


class ConfigNotice(NamedTuple):
    """Announces that the sender has ``revision``."""

    revision: int


class ConfigRequest(NamedTuple):
    """Requests the head if it is newer than ``revision``."""

    TAG = "ConfigAsk"

    revision: int


class ConfigReply(NamedTuple):
    """The sender's revision, with its head if that is newer than requested.

    Attributes:
        revision: Newest revision of which the sender has all parts.
        head: The packed head; empty when it is not newer.
        parts: Parts that were written after the revision in the request.
    """

    TAG = "ConfigAnswer"

    revision: int
    head: bytes = b""
    parts: tuple[bytes, ...] = ()


class PartsRequest(NamedTuple):
    """Requests parts by their digests."""

    TAG = "PartsAsk"

    digests: tuple[bytes, ...]


class PartsReply(NamedTuple):
    """Requested parts that the sender has, up to the size limit of one reply."""

    TAG = "PartsAnswer"

    parts: tuple[bytes, ...]


class ConfigPush(NamedTuple):
    """Pushes an accepted head, with parts that the receiver may lack."""

    TAG = "ConfigOffer"

    head: bytes
    parts: tuple[bytes, ...] = ()
