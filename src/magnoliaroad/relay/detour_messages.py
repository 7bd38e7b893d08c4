"""Messages between a host that is cut off from targets and one that reaches them."""

import enum
from collections.abc import Mapping
from typing import NamedTuple


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
    url: str
    headers: list[tuple[str, str]]
    body: bytes
    limit_s: float


class DetourHead(NamedTuple):
    """The reply to ``DetourRequest``: the head of the target's answer."""

    status: int
    headers: list[tuple[str, str]]


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


def plain_headers(headers: Mapping[str, str]) -> list[tuple[str, str]]:
    """Returns headers as messages carry them, repeated ones included."""
    return [(str(name), value) for name, value in headers.items()]
