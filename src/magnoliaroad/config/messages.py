"""Messages about the configuration."""

from typing import NamedTuple


class ConfigNotice(NamedTuple):
    """Tells a peer that the sender has ``revision``."""

    revision: int


class ConfigRequest(NamedTuple):
    """Asks for the head if it is newer than ``revision``."""

    TAG = "ConfigAsk"

    revision: int


class ConfigAnswer(NamedTuple):
    """The sender's revision, and its head where that is newer.

    Attributes:
        revision: Newest revision that the sender has whole.
        head: The packed head; empty when it is not newer.
        parts: Parts that were written after the revision in the ask.
    """

    revision: int
    head: bytes = b""
    parts: tuple[bytes, ...] = ()


class PartsRequest(NamedTuple):
    """Asks for parts by their digests."""

    TAG = "PartsAsk"

    digests: tuple[bytes, ...]


class PartsResponse(NamedTuple):
    """Parts that the sender has; those too many for one answer are left out."""

    TAG = "PartsAnswer"

    parts: tuple[bytes, ...]


class ConfigOffer(NamedTuple):
    """An accepted head, with parts that the receiver may not have."""

    head: bytes
    parts: tuple[bytes, ...] = ()
