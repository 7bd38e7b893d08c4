"""Messages between a host that is cut off from targets and one that reaches them."""

import enum
from collections.abc import Mapping
from typing import NamedTuple

from multidict import CIMultiDict


class DetourRequest(NamedTuple):
    """Asks a peer to send a request to a target in the sender's place.

    The sender has admitted and placed the request; the peer decides nothing but
    whether it may send to that target.

    Attributes:
        token: Identifies the request among those of the sender.
        request_id: Id of the caller's request.
        target: Name of the target.
        started_ms: Unix time of the target's start in milliseconds.
        address: ``ip:port`` of the target.
        method: HTTP method.
        url: Absolute, encoded URL.
        headers: Headers that the target receives, without a caller's API key.
        body: Body that it receives.
        limit_s: Longest wait for the head of the answer, in seconds.
    """

    token: str
    request_id: str
    target: str
    started_ms: int
    address: str
    method: str
    url: bytes
    headers: list[tuple[bytes, bytes]]
    body: bytes
    limit_s: float


class DetourHead(NamedTuple):
    """The reply to ``DetourRequest``: the head of the target's answer."""

    status: int
    headers: list[tuple[bytes, bytes]]


class DetourRead(NamedTuple):
    """Asks for the next part of the body; answered as soon as bytes have arrived."""

    token: str


class DetourPart(NamedTuple):
    """The reply to ``DetourRead``.

    Attributes:
        body: Next bytes of the body; empty if none have arrived yet.
        ended: Whether the body is complete with them.
    """

    body: bytes
    ended: bool


class DetourEnd(NamedTuple):
    """States that nothing more of an answer is wanted."""

    token: str


class DetourFailureKind(enum.StrEnum):
    """What failed.

    Attributes:
        PEER_UNABLE: The peer does not send the request; another one may.
        TARGET_UNREACHABLE: The peer could not connect to the target.
        CONNECTION_LOST: The peer lost its connection to the target.
        TIMED_OUT: The target did not answer, or fell silent.
        BAD_ANSWER: The target's answer was not one to the request.
    """

    PEER_UNABLE = "peer unable"
    TARGET_UNREACHABLE = "target unreachable"
    CONNECTION_LOST = "connection lost"
    TIMED_OUT = "timed out"
    BAD_ANSWER = "bad answer"


class DetourFailure(NamedTuple):
    """The reply to ``DetourRequest`` and ``DetourRead`` if they failed.

    Attributes:
        kind: A ``DetourFailureKind``.
        may_have_run: Whether the target may have run the request.
        reason: Description for the log.
    """

    kind: str
    may_have_run: bool
    reason: str


def pack_headers(headers: Mapping[str, str]) -> list[tuple[bytes, bytes]]:
    """Returns headers as messages carry them; their text need not be UTF-8."""
    return [(pack_text(name), pack_text(value)) for name, value in headers.items()]


def unpack_headers(headers: list[tuple[bytes, bytes]]) -> CIMultiDict[str]:
    """Returns the headers that ``pack_headers`` packed."""
    return CIMultiDict((unpack_text(name), unpack_text(text)) for name, text in headers)


def pack_text(text: str) -> bytes:
    """Returns the bytes that were received as ``text``."""
    return text.encode(errors="surrogateescape")


def unpack_text(data: bytes) -> str:
    """Returns the text that ``pack_text`` packed."""
    return data.decode(errors="surrogateescape")
